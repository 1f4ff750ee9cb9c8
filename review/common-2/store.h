// The platform's metadata store: rows, changes, transactions.
#pragma once
#include "net.h"

#include <condition_variable>
#include <mutex>
#include <variant>
#include <vector>

namespace rv
{

// Just enough JSON to read a transaction.
struct json
{
    std::map<std::string, json> object;
    std::vector<json> array;
    std::string text; // strings and numbers
};

class json_reader
{
public:
    explicit json_reader(std::string const& text)
        : text_(text)
    {
    }
    json value()
    {
        json res;
        space();
        char const c = at_ < text_.size() ? text_[at_] : '\0';
        if (c == '{')
        {
            ++at_;
            while (space(), text_[at_] != '}')
            {
                auto const name = string();
                space();
                ++at_; // colon
                res.object[name] = value();
                space();
                if (text_[at_] == ',')
                    ++at_;
            }
            ++at_;
        }
        else if (c == '[')
        {
            ++at_;
            while (space(), text_[at_] != ']')
            {
                res.array.push_back(value());
                space();
                if (text_[at_] == ',')
                    ++at_;
            }
            ++at_;
        }
        else if (c == '"')
            res.text = string();
        else
        {
            auto const end = text_.find_first_of(",]} \n", at_);
            res.text = text_.substr(at_, end - at_);
            at_ = end;
        }
        return res;
    }

private:
    void space()
    {
        while (at_ < text_.size() && std::strchr(" \n\r\t", text_[at_]))
            ++at_;
    }
    std::string string()
    {
        std::string res;
        for (++at_; at_ < text_.size() && text_[at_] != '"'; ++at_)
        {
            if (text_[at_] == '\\')
                ++at_;
            res += text_[at_];
        }
        ++at_;
        return res;
    }
    std::string const& text_;
    std::size_t at_ = 0;
};

inline std::string base64(std::string const& in)
{
    static char const* const abc =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string res;
    for (std::size_t n = 0; n < in.size(); n += 3)
    {
        unsigned v = 0;
        for (std::size_t k = 0; k < 3; ++k)
            v = v << 8 |
                (n + k < in.size() ? static_cast<unsigned char>(in[n + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            res += n + k > in.size() ? '=' : abc[v >> (18 - 6 * k) & 63];
    }
    return res;
}

class store
{
public:
    // Values are kept as sent (base64).
    struct row
    {
        std::string table, key, value;
        unsigned long version = 0;
        bool deleted = false;
    };

    bool start(std::string const& ip, int port)
    {
        return serve(ip, port,
                     [this](int fd, message& it) { return handle(fd, it); });
    }
    void put(std::string const& table, std::string const& key,
             std::string const& value)
    {
        std::lock_guard const lock(mutex_);
        write({table, key, base64(value), ++version_, false});
        changed_.notify_all();
    }
    void remove(std::string const& table, std::string const& key)
    {
        std::lock_guard const lock(mutex_);
        write({table, key, {}, ++version_, true});
        changed_.notify_all();
    }

private:
    void write(row it) { rows_[{it.table, it.key}] = std::move(it); }

    static std::string text_of(row const& it)
    {
        auto res = R"({"table":")" + it.table + R"(","part":"","key":")" +
                   it.key + R"(","row_version":)" + std::to_string(it.version);
        if (it.deleted)
            return res + R"(,"deleted":true})";
        return res + R"(,"value":")" + it.value + "\"}";
    }
    std::string tail() const
    {
        auto const now =
            std::chrono::duration_cast<ms>(steady::now().time_since_epoch());
        return R"("row_version":)" + std::to_string(version_) +
               R"(,"now_ms":)" + std::to_string(now.count()) + "}";
    }
    static std::string parameter(std::string const& target, char const* name)
    {
        auto at = target.find(std::string(name) + "=");
        if (at == std::string::npos)
            return {};
        at += std::strlen(name) + 1;
        return target.substr(at, target.find('&', at) - at);
    }

    bool handle(int fd, message& it)
    {
        auto const target = it.target();
        auto const table = parameter(target, "table");
        std::string body;
        int status = 200;
        if (target.rfind("/rows-get", 0) == 0)
        {
            std::lock_guard const lock(mutex_);
            std::string rows;
            for (auto const& [key, row] : rows_)
            {
                if (key.first == table && !row.deleted)
                    rows += (rows.empty() ? "" : ",") + text_of(row);
            }
            body = R"({"rows":[)" + rows + R"(],"truncated":false,)" + tail();
        }
        else if (target.rfind("/rows-feed", 0) == 0)
        {
            auto const after = std::stoul(parameter(target, "after"));
            auto const until =
                steady::now() + ms(std::stol(parameter(target, "wait_ms")));
            std::unique_lock lock(mutex_);
            std::vector<row> found;
            changed_.wait_until(lock, until,
                                [&]
                                {
                                    found.clear();
                                    for (auto const& [key, row] : rows_)
                                    {
                                        if (key.first == table &&
                                            row.version > after)
                                            found.push_back(row);
                                    }
                                    return !found.empty();
                                });
            std::sort(found.begin(), found.end(),
                      [](row const& a, row const& b)
                      { return a.version < b.version; });
            std::string rows;
            for (auto const& row : found)
                rows += (rows.empty() ? "" : ",") + text_of(row);
            body = R"({"rows":[)" + rows + "]," + tail();
        }
        else if (target == "/rows-tx")
            body = transact(it.body, status);
        else
            status = 404;
        return send_all(fd, answer(status,
                                   {{"Content-Type", "application/json"},
                                    {"Store-Era", "1"}},
                                   body));
    }

    std::string transact(std::string const& text, int& status)
    {
        auto const call = json_reader(text).value();
        auto const list = [&](char const* name)
        {
            auto const found = call.object.find(name);
            return found == call.object.end() ? std::vector<json>()
                                              : found->second.array;
        };
        std::lock_guard const lock(mutex_);
        std::string current;
        bool holds = true;
        for (auto const& e : list("expected"))
        {
            auto const& o = e.object;
            auto const found =
                rows_.find({o.at("table").text, o.at("key").text});
            row it{o.at("table").text, o.at("key").text, {}, 0, false};
            if (found != rows_.end() && !found->second.deleted)
                it = found->second;
            holds = holds &&
                    std::to_string(it.version) == o.at("row_version").text;
            current += (current.empty() ? "" : ",") + text_of(it);
        }
        if (!holds)
        {
            status = 412;
            return R"({"rows":[)" + current + "]," + tail();
        }
        ++version_;
        for (auto const& e : list("writes"))
            write({e.object.at("table").text, e.object.at("key").text,
                   e.object.at("value").text, version_, false});
        for (auto const& e : list("remove"))
            write({e.object.at("table").text, e.object.at("key").text,
                   {}, version_, true});
        changed_.notify_all();
        return "{" + tail();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, row> rows_;
    unsigned long version_ = 1;
};

} // namespace rv
