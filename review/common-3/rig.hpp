// Stand-ins for the platform's store, its workers and its consumers, and the
// processes of the project, for the cases of this review. All addresses are
// loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig
{

using nlohmann::json;
using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

inline clock::time_point const started = clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(clock::now() - started).count();
}

/// What was sent, answered and run, with times in seconds.
class record
{
public:
    static void open(std::string const& path)
    {
        file() = std::fopen(path.c_str(), "w");
    }
    static void line(char const* format, ...)
    {
        static std::mutex mutex;
        std::lock_guard const lock(mutex);
        va_list args;
        va_start(args, format);
        char buf[4096];
        std::vsnprintf(buf, sizeof buf, format, args);
        va_end(args);
        std::fprintf(file() ? file() : stdout, "%8.3f %s\n", seconds(), buf);
        std::fflush(file());
    }

private:
    static std::FILE*& file()
    {
        static std::FILE* res = nullptr;
        return res;
    }
};

/// The case could not run.
[[noreturn]] inline void cannot_run(std::string const& why)
{
    record::line("cannot run: %s", why.c_str());
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    throw std::runtime_error(why);
}

// --- HTTP -------------------------------------------------------------------

struct message
{
    /// "GET /path HTTP/1.1" or "HTTP/1.1 200 OK".
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::optional<std::string> find(std::string const& name) const
    {
        for (auto const& [key, value] : headers)
        {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return std::nullopt;
    }
    std::string get(std::string const& name) const
    {
        return find(name).value_or("");
    }
    std::string method() const
    {
        return first_line.substr(0, first_line.find(' '));
    }
    std::string target() const
    {
        auto const at = first_line.find(' ') + 1;
        return first_line.substr(at, first_line.find(' ', at) - at);
    }
    int status() const
    {
        return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9);
    }
};

inline sockaddr_in address(std::string const& ip, int port)
{
    sockaddr_in res{};
    res.sin_family = AF_INET;
    res.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &res.sin_addr);
    return res;
}

/// One side of a channel.
class channel
{
public:
    explicit channel(int fd = -1)
        : fd_(fd)
    {
        int on = 1;
        if (fd_ >= 0)
            setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~channel() { close(); }
    channel(channel const&) = delete;
    channel& operator=(channel const&) = delete;

    static std::unique_ptr<channel> connect(std::string const& ip, int port)
    {
        int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const at = address(ip, port);
        if (::connect(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) !=
            0)
        {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<channel>(fd);
    }

    void close()
    {
        auto const fd = fd_.exchange(-1);
        if (fd >= 0)
            ::close(fd);
    }
    /// Ends a read of another thread.
    void shut() { ::shutdown(fd_, SHUT_RDWR); }

    bool send(std::string const& text)
    {
        std::size_t n = 0;
        while (n < text.size())
        {
            auto const res =
                ::send(fd_, text.data() + n, text.size() - n, MSG_NOSIGNAL);
            if (res <= 0)
                return false;
            n += static_cast<std::size_t>(res);
        }
        return true;
    }

    /// Whether the peer has closed the channel.
    bool peer_closed() const
    {
        pollfd it{fd_, POLLIN | POLLRDHUP, 0};
        return ::poll(&it, 1, 0) > 0 &&
               (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    /// False at the end of the channel or after the time.
    bool fill(std::chrono::milliseconds limit)
    {
        pollfd it{fd_, POLLIN, 0};
        if (::poll(&it, 1, static_cast<int>(limit.count())) <= 0)
        {
            timed_out_ = true;
            return false;
        }
        char buf[16384];
        auto const n = ::recv(fd_, buf, sizeof buf, 0);
        if (n <= 0)
            return false;
        buf_.append(buf, static_cast<std::size_t>(n));
        return true;
    }
    bool timed_out() const { return timed_out_; }

    bool read_line(std::string& line, std::chrono::milliseconds limit)
    {
        for (;;)
        {
            auto const at = buf_.find("\r\n");
            if (at != std::string::npos)
            {
                line = buf_.substr(0, at);
                buf_.erase(0, at + 2);
                return true;
            }
            if (!fill(limit))
                return false;
        }
    }
    bool read_bytes(std::string& to, std::size_t n,
                    std::chrono::milliseconds limit)
    {
        while (buf_.size() < n)
        {
            if (!fill(limit))
                return false;
        }
        to += buf_.substr(0, n);
        buf_.erase(0, n);
        return true;
    }
    bool read_head(message& res, std::chrono::milliseconds limit)
    {
        res = {};
        if (!read_line(res.first_line, limit))
            return false;
        std::string line;
        while (read_line(line, limit))
        {
            if (line.empty())
                return true;
            auto const colon = line.find(':');
            if (colon == std::string::npos)
                return false;
            auto const from = line.find_first_not_of(' ', colon + 1);
            res.headers.emplace_back(
                line.substr(0, colon),
                from == std::string::npos ? "" : line.substr(from));
        }
        return false;
    }
    /// Reads the next chunk of a body; empty: its end. False if it was cut.
    bool read_chunk(std::string& res, std::chrono::milliseconds limit)
    {
        std::string line;
        res.clear();
        if (!read_line(line, limit))
            return false;
        auto const n = std::strtoul(line.c_str(), nullptr, 16);
        return read_bytes(res, n, limit) && read_line(line, limit);
    }
    /// Reads a head and a body with a length or in chunks.
    bool read(message& res, std::chrono::milliseconds limit)
    {
        if (!read_head(res, limit))
            return false;
        if (strcasecmp(res.get("Transfer-Encoding").c_str(), "chunked") == 0)
        {
            std::string chunk;
            for (;;)
            {
                if (!read_chunk(chunk, limit))
                    return false;
                if (chunk.empty())
                    return true;
                res.body += chunk;
            }
        }
        return read_bytes(
            res.body,
            std::strtoul(res.get("Content-Length").c_str(), nullptr, 10),
            limit);
    }

private:
    std::atomic<int> fd_;
    std::string buf_;
    bool timed_out_ = false;
};

inline std::string chunk(std::string const& text)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

inline std::string answer(int status, std::string const& headers,
                          std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string json_answer(int status, json const& body)
{
    return answer(status, "Content-Type: application/json\r\n", body.dump());
}

/// Serves each channel in a thread of its own.
class server
{
public:
    using handler = std::function<bool(channel&, message const&)>;

    server(std::string ip, int port, handler on_request)
        : ip_(std::move(ip))
        , handler_(std::move(on_request))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto at = address(ip_, port);
        if (::bind(fd_, reinterpret_cast<sockaddr const*>(&at), sizeof at) !=
                0 ||
            ::listen(fd_, 512) != 0)
            cannot_run("no listener at " + ip_);
        socklen_t n = sizeof at;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &n);
        port_ = ntohs(at.sin_port);
        thread_ = std::thread([this] { accept(); });
    }
    ~server()
    {
        ended_ = true;
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
        thread_.join();
        {
            std::lock_guard const lock(mutex_);
            for (auto const& it : channels_)
                it->shut();
        }
        for (auto& it : threads_)
            it.join();
    }

    std::string const& ip() const { return ip_; }
    int port() const { return port_; }
    std::string at() const { return ip_ + ":" + std::to_string(port_); }
    bool ended() const { return ended_; }

private:
    void accept()
    {
        while (!ended_)
        {
            int const fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            auto conn = std::make_shared<channel>(fd);
            std::lock_guard const lock(mutex_);
            channels_.push_back(conn);
            threads_.emplace_back([this, conn] { serve(*conn); });
        }
    }
    void serve(channel& conn)
    {
        message request;
        while (!ended_ && conn.read(request, 600000ms))
        {
            if (!handler_(conn, request))
                break;
        }
        conn.close();
    }

    std::string ip_;
    handler handler_;
    int fd_ = -1;
    int port_ = 0;
    std::atomic<bool> ended_{false};
    std::mutex mutex_;
    std::vector<std::shared_ptr<channel>> channels_;
    std::vector<std::thread> threads_;
    std::thread thread_;
};

// --- The platform's store
// ------------------------------------------------------

inline std::string base64(std::string const& text)
{
    static char const* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string res;
    for (std::size_t n = 0; n < text.size(); n += 3)
    {
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (n + k < text.size()
                                    ? static_cast<unsigned char>(text[n + k])
                                    : 0);
        for (int k = 0; k < 4; ++k)
            res += n + static_cast<std::size_t>(k) > text.size()
                       ? '='
                       : digits[bits >> (18 - 6 * k) & 63];
    }
    return res;
}

class store
{
public:
    explicit store(std::string const& ip)
        : server_(ip, 0,
                  [this](channel& conn, message const& request)
                  { return handle(conn, request); })
    {
    }
    ~store()
    {
        ended_ = true;
        changed_.notify_all();
    }

    std::string at() const { return server_.at(); }

    void put(std::string const& table, std::string const& key,
             json const& value)
    {
        std::lock_guard const lock(mutex_);
        rows_[table][key] = {base64(value.dump()), ++version_, false};
        changed_.notify_all();
    }
    void remove(std::string const& table, std::string const& key)
    {
        std::lock_guard const lock(mutex_);
        rows_[table][key] = {"", ++version_, true};
        changed_.notify_all();
    }

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };

    static std::string parameter(std::string const& target,
                                 std::string const& name)
    {
        auto const query = target.find('?');
        auto at =
            query == std::string::npos ? query : target.find(name + "=", query);
        if (at == std::string::npos)
            return "";
        at += name.size() + 1;
        return target.substr(at, target.find('&', at) - at);
    }
    static json shown(std::string const& table, std::string const& key,
                      row const& it)
    {
        json res{{"table", table},
                 {"part", ""},
                 {"key", key},
                 {"row_version", it.version}};
        if (it.deleted)
            res["deleted"] = true;
        else
            res["value"] = it.value;
        return res;
    }
    json answer_with(json rows) const
    {
        return {
            {"rows", std::move(rows)},
            {"row_version", version_},
            {"now_ms", static_cast<std::int64_t>(seconds() * 1000) + 1000000},
            {"truncated", false}};
    }
    bool handle(channel& conn, message const& request)
    {
        auto const target = request.target();
        std::this_thread::sleep_for(4ms);
        if (target.starts_with("/rows-get"))
            return conn.send(json_answer(200, get(parameter(target, "table"))));
        if (target.starts_with("/rows-feed"))
            return conn.send(json_answer(
                200, feed(parameter(target, "table"),
                          std::strtoull(parameter(target, "after").c_str(),
                                        nullptr, 10),
                          std::atoi(parameter(target, "wait_ms").c_str()))));
        if (target.starts_with("/rows-tx"))
        {
            auto const [status, body] = commit(json::parse(request.body));
            return conn.send(json_answer(status, body));
        }
        return conn.send(json_answer(404, json::object()));
    }
    json get(std::string const& table)
    {
        std::lock_guard const lock(mutex_);
        auto rows = json::array();
        for (auto const& [key, it] : rows_[table])
        {
            if (!it.deleted)
                rows.push_back(shown(table, key, it));
        }
        return answer_with(rows);
    }
    json feed(std::string const& table, std::uint64_t after, int wait_ms)
    {
        std::unique_lock lock(mutex_);
        auto const until = clock::now() + std::chrono::milliseconds(wait_ms);
        for (;;)
        {
            std::map<std::uint64_t, json> rows;
            for (auto const& [key, it] : rows_[table])
            {
                if (it.version > after)
                    rows[it.version] = shown(table, key, it);
            }
            if (!rows.empty() || ended_ || clock::now() >= until)
            {
                auto list = json::array();
                for (auto const& [version, it] : rows)
                    list.push_back(it);
                return answer_with(list);
            }
            changed_.wait_until(lock, until);
        }
    }
    std::pair<int, json> commit(json const& body)
    {
        std::lock_guard const lock(mutex_);
        bool holds = true;
        auto current = json::array();
        for (auto const& it : body.value("expected", json::array()))
        {
            auto const table = it.at("table").get<std::string>();
            auto const key = it.at("key").get<std::string>();
            auto const& found = rows_[table][key];
            auto const version = found.deleted ? 0 : found.version;
            holds =
                holds && version == it.at("row_version").get<std::uint64_t>();
            if (version > 0)
                current.push_back(shown(table, key, found));
        }
        if (!holds)
            return {412, answer_with(current)};
        ++version_;
        for (auto const& it : body.value("writes", json::array()))
            rows_[it.at("table")][it.at("key")] = {it.at("value"), version_,
                                                   false};
        for (auto const& it : body.value("remove", json::array()))
            rows_[it.at("table")][it.at("key")] = {"", version_, true};
        changed_.notify_all();
        return {200, answer_with(json::array())};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, row>> rows_;
    std::uint64_t version_ = 1;
    std::atomic<bool> ended_{false};
    server server_;
};

// --- Workers
// ----------------------------------------------------------------------

/// A worker. What it does with requests is the case's; calls about its state,
/// its cache and orders are answered here.
class worker
{
public:
    using handler = std::function<bool(worker&, channel&, message const&)>;

    struct options
    {
        std::string id;
        std::string service;
        std::string software = "v1";
        std::string model = "m0";
        int weights = 1;
    };

    worker(std::string const& ip, options given, handler on_request)
        : id(given.id)
        , service(given.service)
        , software(given.software)
        , model(given.model)
        , weights(given.weights)
        , handler_(std::move(on_request))
        , server_(ip, 0,
                  [this](channel& conn, message const& request)
                  { return handle(conn, request); })
    {
    }

    std::string const id;
    std::string const service;
    std::string const software;
    std::string const model;
    std::atomic<int> weights;
    std::atomic<int> running{0};
    std::atomic<int> waiting{0};
    std::atomic<bool> busy{false};
    std::atomic<int> orders{0};
    std::atomic<int> kv_used{0};
    int const slots = 64;

    std::string ip() const { return server_.ip(); }
    int port() const { return server_.port(); }
    std::string at() const { return server_.at(); }
    bool ended() const { return server_.ended(); }

    json models() const
    {
        return json::array({{{"name", model},
                             {"version", weights.load()},
                             {"adapters", json::array()}}});
    }
    json entry() const
    {
        return {{"service", service},     {"address", at()},
                {"zone", "hall-a"},       {"version", software},
                {"slots", slots},         {"state", "ready"},
                {"cold_remaining_ms", 0}, {"stage", "unified"},
                {"models", models()},     {"sequence", 1}};
    }
    /// The fields that all answers bear.
    std::string fields(message const& request) const
    {
        return "Attempt-Id: " + request.get("Attempt-Id") +
               "\r\nInstance-Id: " + id +
               "\r\nInstance-Load: " + std::to_string(running) + "," +
               std::to_string(waiting) + "," + std::to_string(slots) +
               "\r\nWeight-Versions: " + std::to_string(weights) + "\r\n";
    }
    std::string signature(message const& request) const
    {
        return "Response-Signature: " + id + "." + request.get("Attempt-Id") +
               "\r\n";
    }
    /// States that the request has not run and will not.
    std::string refusal(message const& request, int status) const
    {
        return answer(status, fields(request) + "Not-Executed: 1\r\n", "");
    }
    std::function<void(worker&, json const&)> on_order;

    /// A part of a prompt is kept now, or not any more.
    void cache_event(char const* sign, std::string const& salt,
                     std::string const& part, int tokens)
    {
        std::lock_guard const lock(events_mutex_);
        events_.push_back(
            {events_.size() + 1, sign, salt, part, tokens, model});
    }

private:
    std::size_t event_count()
    {
        std::lock_guard const lock(events_mutex_);
        return events_.size();
    }
    bool handle(channel& conn, message const& request)
    {
        auto const target = request.target();
        if (target == "/report")
        {
            // Each run is [id, tokens in memory, events made, priority].
            auto runs = json::array();
            for (int n = 0; n < running; ++n)
                runs.push_back({"run-" + std::to_string(n), 1000, 5, 5});
            return conn.send(
                json_answer(200, {{"stage", "unified"},
                                  {"models", models()},
                                  {"busy", busy.load()},
                                  {"sequence", orders.load()},
                                  {"queue_depth", waiting.load()},
                                  {"running_count", running.load()},
                                  {"kv_used", kv_used.load()},
                                  {"kv_total", 240000},
                                  {"handles", 0},
                                  {"runs", runs}}));
        }
        if (target.starts_with("/kv-events"))
        {
            auto const at = target.find("since=");
            auto const since =
                at == std::string::npos
                    ? 0
                    : std::strtoull(target.c_str() + at + 6, nullptr, 10);
            auto const wait = std::atoi(request.get("Wait-Ms").c_str());
            for (int n = 0; n < wait / 20 && !ended() && event_count() <= since;
                 ++n)
                std::this_thread::sleep_for(20ms);
            std::lock_guard const lock(events_mutex_);
            auto list = json::array();
            for (auto n = since; n < events_.size(); ++n)
                list.push_back(events_[n]);
            return conn.send(json_answer(200, {{"boot_epoch", 1},
                                               {"next", events_.size()},
                                               {"lost", false},
                                               {"events", list}}));
        }
        if (target == "/order")
        {
            auto const order = json::parse(request.body);
            record::line("%s gets the order %s", id.c_str(),
                         request.body.c_str());
            if (busy)
                return conn.send(json_answer(409, json::object()));
            ++orders;
            busy = true;
            if (on_order)
                on_order(*this, order);
            return conn.send(json_answer(202, json::object()));
        }
        if (target == "/healthz")
            return conn.send(answer(200, fields(request), ""));
        auto const expected = request.find("Expect-Instance");
        if (expected && *expected != id)
            return conn.send(
                answer(421, fields(request) + "Not-Executed: 1\r\n", ""));
        auto const version = request.find("Expect-Version");
        if (version && std::atoi(version->c_str()) != weights &&
            !checks_room_first)
            return conn.send(
                answer(421, fields(request) + "Not-Executed: 1\r\n", ""));
        return handler_(*this, conn, request);
    }

public:
    /// The case checks `Expect-Version` itself, after it has checked whether
    /// there is room.
    bool checks_room_first = false;

private:
    handler handler_;
    std::mutex events_mutex_;
    std::vector<json> events_;
    server server_;
};

inline std::string event(int id, std::string const& text)
{
    return "id: " + std::to_string(id) + "\ndata: " + text + "\n\n";
}

// --- Processes of the project
// -------------------------------------------------------

class process
{
public:
    process(std::string name, std::vector<std::string> command,
            std::string const& settings_file, std::filesystem::path const& log)
        : name_(std::move(name))
    {
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        // It must not outlive a case that is ended from outside.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const out =
            ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        std::vector<std::string> env{
            "ENDIVEWARD_BOOT=" + settings_file,
            "ENDIVEWARD_CLUSTER_KEY=replace-this-text-for-each-deployment-0001",
            "PATH=/usr/bin:/bin", "LANG=C"};
        std::vector<char*> args, vars;
        for (auto& it : command)
            args.push_back(it.data());
        args.push_back(nullptr);
        for (auto& it : env)
            vars.push_back(it.data());
        vars.push_back(nullptr);
        ::execve(args[0], args.data(), vars.data());
        ::_exit(127);
    }
    ~process() { end(); }
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    void signal(int number)
    {
        record::line("%s gets signal %d", name_.c_str(), number);
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    /// Kills it and waits.
    void end()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    bool running()
    {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
            pid_ = -1;
        return pid_ > 0;
    }

private:
    std::string name_;
    pid_t pid_ = -1;
};

inline int free_port(std::string const& ip)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = address(ip, 0);
    ::bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at);
    socklen_t n = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &n);
    ::close(fd);
    return ntohs(at.sin_port);
}

/// A machine of the system and its process.
struct machine
{
    std::string name;
    std::string ip;
    int front = 0;
    int ready = 0;
    std::string settings;
    std::unique_ptr<process> running;
};

/// A small deployment: routers, and an agent beside each model worker.
class deployment
{
public:
    deployment(std::string bin)
        : bin_(std::move(bin))
        , net_("127." + std::to_string(64 + ::getpid() % 128) + "." +
               std::to_string(::getpid() / 128 % 200) + ".")
        , folder_(std::filesystem::temp_directory_path() /
                  ("review-3-" + std::to_string(::getpid())))
        , internal_port_(free_port(net_ + "1"))
        , rows(net_ + "1")
    {
        std::filesystem::create_directories(folder_);
    }
    ~deployment()
    {
        routers.clear();
        agents.clear();
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(folder_);
    }

    std::string const& net() const { return net_; }
    std::filesystem::path const& folder() const { return folder_; }

    worker& add_worker(worker::options given, worker::handler handler)
    {
        auto const ip = net_ + std::to_string(100 + workers.size());
        workers.push_back(
            std::make_unique<worker>(ip, std::move(given), std::move(handler)));
        auto& res = *workers.back();
        rows.put("servers", res.id, res.entry());
        return res;
    }
    /// The agent on the machine of a model worker.
    machine& add_agent(worker& beside)
    {
        auto it = std::make_unique<machine>();
        it->name = "side-hall-a-" + std::to_string(agents.size() + 1);
        it->ip = beside.ip();
        it->settings =
            write_settings(*it,
                           "app = \"" + beside.at() + "\"\nservice = \"" +
                               beside.service + "\"\n",
                           "");
        agents.push_back(std::move(it));
        start(*agents.back(), {bin_ + "/endiveward-agent", "--platform"});
        return *agents.back();
    }
    machine& add_router()
    {
        auto it = std::make_unique<machine>();
        it->name = "edge-hall-a-" + std::to_string(routers.size() + 1);
        it->ip = net_ + std::to_string(10 + routers.size());
        it->front = free_port(it->ip);
        do
            it->ready = free_port(it->ip);
        while (it->ready == it->front);
        it->settings = write_settings(*it, "",
                                      "front = \"" + it->ip + ":" +
                                          std::to_string(it->front) +
                                          "\"\nready = \"" + it->ip + ":" +
                                          std::to_string(it->ready) + "\"\n");
        routers.push_back(std::move(it));
        start(*routers.back(), {bin_ + "/endiveward", "run", "--platform"});
        return *routers.back();
    }
    void start(machine& it, std::vector<std::string> const& command)
    {
        it.running = std::make_unique<process>(it.name, command, it.settings,
                                               folder_ / (it.name + ".log"));
        record::line("%s starts", it.name.c_str());
    }
    static bool is_ready(machine const& it)
    {
        auto const conn = channel::connect(it.ip, it.ready);
        message res;
        return conn &&
               conn->send("GET /readyz HTTP/1.1\r\nHost: " + it.ip +
                          "\r\nConnection: close\r\n\r\n") &&
               conn->read(res, 1000ms) && res.status() == 200;
    }
    void wait_ready()
    {
        for (int n = 0; n < 200; ++n)
        {
            bool all = true;
            for (auto const& it : routers)
                all = all && is_ready(*it);
            if (all)
                return;
            std::this_thread::sleep_for(100ms);
        }
        cannot_run("the routers are not ready after 20 s");
    }

private:
    std::string write_settings(machine const& it, std::string const& extra,
                               std::string const& listen)
    {
        auto const path = folder_ / (it.name + ".toml");
        std::ofstream out(path);
        out << "node_name = \"" << it.name << "\"\nip = \"" << it.ip
            << "\"\nzone = \"hall-a\"\nregion = \"be-central\"\n"
            << "internal_ports = [" << internal_port_ << ","
            << internal_port_ + 15 << "]\nbootstrap = true\n"
            << "discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = "
               "1200\n"
            << extra << "[zones]\nhall-a = \"be-central\"\n[listen]\n"
            << listen
            << "[limits]\ncpu_share = 0.19\ncpu_cores = 1\nmemory_mb = "
               "260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
            << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = "
               "3000\nack_ms = 4000\ncatch_up_s = 4\n"
            << "drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = "
               "200\nconfig_apply_ms = 2000\ndowngrade_slack_ms = 250\n"
            << "max_skew_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s "
               "= 10\nretry_budget_extra = 52\n"
            << "recovery_s = 12\nrequire_fencing = true\nlease_ms = "
               "3000\nversion_ms = 10000\nversion_all_ms = 14000\n"
            << "[provider]\naddress = \"" << rows.at()
            << "\"\nform = \"table\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
            << "txn_ms = 3.0\npart_writes_s = 300\nrow_bytes = 65536\nacross = "
               "true\nhistory_s = 20\n";
        return path;
    }

    std::string bin_;
    std::string net_;
    std::filesystem::path folder_;
    int internal_port_;

public:
    store rows;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<machine>> agents;
    std::vector<std::unique_ptr<machine>> routers;
};

inline json engine_service(std::string const& name)
{
    return {{"name", name},
            {"health_path", "/healthz"},
            {"max_connections", 360},
            {"protocol", "h1"},
            {"tls", false},
            {"engine",
             {{"slots", 64},
              {"kv_capacity_tokens", 244711},
              {"kv_token_bytes", 18432},
              {"link_mbps", 130000.0},
              {"max_in_flight", 12},
              {"models", json::array({{{"name", "m0"}}})}}}};
}

inline json configuration(int version, json routes, json services)
{
    return {
        {"version", version},
        {"routes", std::move(routes)},
        {"services", std::move(services)},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 4194304},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}}},
        {"tenants", json::array({{{"name", "sese880"},
                                  {"api_keys", json::array({"key-of-sese880"})},
                                  {"priority", 1},
                                  {"isolated", false}}})}};
}

} // namespace rig
