#ifndef REVIEW_STAND_INS_STORE_HPP
#define REVIEW_STAND_INS_STORE_HPP

#include "net.h"

#include <condition_variable>
#include <nlohmann/json.hpp>

namespace review
{

inline std::string base64(std::string const& text)
{
    static char const* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmn"
                                      "opqrstuvwxyz0123456789+/";
    std::string res;
    unsigned bits = 0;
    int n = 0;
    for (unsigned char const it : text)
    {
        bits = bits << 8U | it;
        for (n += 8; n >= 6; n -= 6)
            res += digits[bits >> (n - 6) & 63U];
    }
    if (n > 0)
        res += digits[bits << (6 - n) & 63U];
    while (res.size() % 4 != 0)
        res += '=';
    return res;
}

inline std::string from_base64(std::string const& text)
{
    std::string res;
    unsigned bits = 0;
    int n = 0;
    for (char const it : text)
    {
        int v = -1;
        if (it >= 'A' && it <= 'Z')
            v = it - 'A';
        else if (it >= 'a' && it <= 'z')
            v = it - 'a' + 26;
        else if (it >= '0' && it <= '9')
            v = it - '0' + 52;
        else if (it == '+')
            v = 62;
        else if (it == '/')
            v = 63;
        if (v < 0)
            break;
        bits = bits << 6U | static_cast<unsigned>(v);
        n += 6;
        if (n >= 8)
        {
            n -= 8;
            res += static_cast<char>(bits >> n & 255U);
        }
    }
    return res;
}

/// The platform's metadata store as PROTOCOL.md tells: rows with one counter of
/// versions, transactions, full reads and the feed of changes.
class store
{
public:
    using json = nlohmann::json;

    explicit store(address at)
        : started_(steady::now())
        , server_(std::move(at), [this](message const& request, channel& conn)
                  { return answer(request, conn); })
    {
    }
    ~store()
    {
        {
            std::lock_guard const lock(mutex_);
            stopped_ = true;
        }
        changed_.notify_all();
        server_.stop();
    }

    address const& at() const { return server_.at(); }

    /// As the operator or a worker writes; returns when it is acknowledged.
    void put(std::string const& table, std::string const& key,
             json const& value)
    {
        std::lock_guard const lock(mutex_);
        set({table, "", key}, value.dump());
    }

    void remove(std::string const& table, std::string const& key)
    {
        std::lock_guard const lock(mutex_);
        set({table, "", key}, std::nullopt);
    }

private:
    using row_id = std::tuple<std::string, std::string, std::string>;
    struct row
    {
        std::optional<std::string> value;
        std::uint64_t version = 0;
    };

    void set(row_id const& id, std::optional<std::string> value)
    {
        rows_[id] = {std::move(value), ++version_};
        changed_.notify_all();
    }

    static std::map<std::string, std::string>
    query_of(std::string const& target)
    {
        std::map<std::string, std::string> res;
        auto at = target.find('?');
        while (at != std::string::npos)
        {
            auto const end = target.find('&', at + 1);
            auto const pair = target.substr(
                at + 1, end == std::string::npos ? end : end - at - 1);
            auto const eq = pair.find('=');
            std::string value;
            for (std::size_t n = eq + 1;
                 eq != std::string::npos && n < pair.size(); ++n)
            {
                if (pair[n] == '%' && n + 2 < pair.size())
                {
                    value += static_cast<char>(
                        std::stoi(pair.substr(n + 1, 2), nullptr, 16));
                    n += 2;
                }
                else
                    value += pair[n];
            }
            res[pair.substr(0, eq)] = value;
            at = end;
        }
        return res;
    }

    static json json_of(row_id const& id, row const& it)
    {
        json res{{"table", std::get<0>(id)},
                 {"part", std::get<1>(id)},
                 {"key", std::get<2>(id)},
                 {"row_version", it.version}};
        if (it.value)
            res["value"] = base64(*it.value);
        else
            res["deleted"] = true;
        return res;
    }

    json body_with(json rows) const
    {
        return {{"rows", std::move(rows)},
                {"truncated", false},
                {"row_version", version_},
                {"now_ms", std::chrono::duration_cast<milliseconds>(
                               steady::now() - started_)
                               .count()}};
    }

    bool answer(message const& request, channel& conn)
    {
        auto const target = request.target();
        auto const path = target.substr(0, target.find('?'));
        auto query = query_of(target);
        int status = 404;
        json body = json::object();
        std::unique_lock lock(mutex_);
        if (path == "/rows-get")
        {
            status = 200;
            body = body_with(json::array());
            for (auto const& [id, it] : rows_)
            {
                auto const& key = std::get<2>(id);
                if (std::get<0>(id) == query["table"] &&
                    std::get<1>(id) == query["part"] && it.value &&
                    key >= query["from"] &&
                    (query["to"].empty() || key < query["to"]))
                    body["rows"].push_back(json_of(id, it));
            }
        }
        else if (path == "/rows-feed")
        {
            status = 200;
            auto const after = std::stoull(query["after"]);
            auto const until =
                steady::now() + milliseconds(std::stoi(query["wait_ms"]));
            auto const changes = [&]
            {
                std::vector<std::pair<std::uint64_t, json>> list;
                for (auto const& [id, it] : rows_)
                {
                    if (std::get<0>(id) == query["table"] && it.version > after)
                        list.emplace_back(it.version, json_of(id, it));
                }
                std::sort(list.begin(), list.end(),
                          [](auto const& a, auto const& b)
                          { return a.first < b.first; });
                json res = json::array();
                for (auto& it : list)
                    res.push_back(std::move(it.second));
                return res;
            };
            auto rows = changes();
            while (rows.empty() && !stopped_ &&
                   changed_.wait_until(lock, until) != std::cv_status::timeout)
                rows = changes();
            body = body_with(std::move(rows));
        }
        else if (path == "/rows-tx")
            status = transact(json::parse(request.body), body);
        lock.unlock();
        return conn.write(make_message(
            "HTTP/1.1 " + std::to_string(status) + " " + reason_of(status),
            {{"Content-Type", "application/json"}}, body.dump()));
    }

    static row_id id_of(json const& it)
    {
        return {it.at("table"), it.value("part", ""), it.at("key")};
    }

    int transact(json const& request, json& body)
    {
        json current = json::array();
        bool holds = true;
        for (auto const& it : request.value("expected", json::array()))
        {
            auto const found = rows_.find(id_of(it));
            auto const known = found != rows_.end() && found->second.value;
            auto const version = known ? found->second.version : 0;
            holds = holds && it.at("row_version") == version;
            if (known)
                current.push_back(json_of(found->first, found->second));
        }
        if (holds)
        {
            auto const next = ++version_;
            for (auto const& it : request.value("writes", json::array()))
                rows_[id_of(it)] = {from_base64(it.at("value")), next};
            for (auto const& it : request.value("remove", json::array()))
                rows_[id_of(it)] = {std::nullopt, next};
            changed_.notify_all();
        }
        body = body_with(holds ? json::array() : current);
        return holds ? 200 : 412;
    }

    steady::time_point started_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_id, row> rows_;
    std::uint64_t version_ = 0;
    bool stopped_ = false;
    http_server server_;
};

} // namespace review

#endif
