#ifndef REVIEW_STAND_INS_WORKER_HPP
#define REVIEW_STAND_INS_WORKER_HPP

#include "deployment.h"

#include <condition_variable>

namespace review
{

/// What a worker saw of a request that it began to work on.
struct run
{
    std::string id;
    std::string worker;
    std::string path;
    std::string tenant;
    std::size_t body_bytes = 0;
    double at = 0;
    /// Tenants whose parts of KV cache the request used.
    std::set<std::string> used_cache_of;
};

/// Runs of all workers.
class run_list
{
public:
    void add(run it)
    {
        std::lock_guard const lock(mutex_);
        runs_.push_back(std::move(it));
    }
    std::vector<run> all() const
    {
        std::lock_guard const lock(mutex_);
        return runs_;
    }
    std::size_t count(std::string const& id) const
    {
        std::lock_guard const lock(mutex_);
        return static_cast<std::size_t>(
            std::count_if(runs_.begin(), runs_.end(),
                          [&](auto const& it) { return it.id == id; }));
    }

private:
    mutable std::mutex mutex_;
    std::vector<run> runs_;
};

/// A worker as PROTOCOL.md tells. With `kv_total` it is a model worker: streams
/// one event for each output token of `Token-Usage`, holds the request's tokens
/// in memory while it runs, and keeps the parts of prompts afterwards.
class worker
{
public:
    struct options
    {
        std::string service;
        std::string zone = "bhrikuti-hall";
        std::string model;
        std::uint64_t kv_total = 0;
        milliseconds event_gap{300};
        milliseconds work{15};
        unsigned slots = 64;
    };

    worker(deployment& around, address at, std::string id, options given,
           run_list& runs)
        : around_(around)
        , id_(std::move(id))
        , options_(std::move(given))
        , runs_(runs)
        , server_(std::move(at), [this](message const& request, channel& conn)
                  { return serve(request, conn); })
    {
        write_entry();
    }
    ~worker()
    {
        stopped_ = true;
        freed_.notify_all();
        server_.stop();
    }

    std::string const& id() const { return id_; }

private:
    using json = nlohmann::json;

    json models() const
    {
        return json::array({{{"name", options_.model},
                             {"version", 1},
                             {"adapters", json::array()}}});
    }

    /// A heartbeat that changes only `sequence` does not change the entry.
    void write_entry()
    {
        json entry{
            {"service", options_.service}, {"address", server_.at().text()},
            {"zone", options_.zone},       {"version", "v1"},
            {"slots", options_.slots},     {"state", "ready"},
            {"cold_remaining_ms", 0},      {"sequence", ++beats_}};
        if (options_.kv_total > 0)
        {
            entry["stage"] = "unified";
            entry["models"] = models();
        }
        around_.platform().put("servers", id_, entry);
    }

    bool answer(channel& conn, int status, headers fields,
                std::string const& body)
    {
        fields.emplace_back("Instance-Id", id_);
        return conn.write(make_message("HTTP/1.1 " + std::to_string(status) +
                                           " " + reason_of(status),
                                       fields, body));
    }

    bool answer_json(channel& conn, json const& body)
    {
        return answer(conn, 200, {{"Content-Type", "application/json"}},
                      body.dump());
    }

    bool serve(message const& request, channel& conn)
    {
        auto const path = request.target();
        if (path == "/report")
        {
            std::unique_lock lock(mutex_);
            json const body{{"stage", "unified"},
                            {"models", models()},
                            {"busy", false},
                            {"sequence", 0},
                            {"queue_depth", waiting_},
                            {"running_count", running_},
                            {"kv_used", kv_used_},
                            {"kv_total", options_.kv_total},
                            {"handles", 0}};
            lock.unlock();
            return answer_json(conn, body);
        }
        if (path.starts_with("/kv-events"))
            return events(request, conn);
        if (path == "/order")
            return answer(conn, 200, {}, "");
        return run_request(request, conn);
    }

    bool events(message const& request, channel& conn)
    {
        auto const since = std::stoull(
            request.target().substr(request.target().find('=') + 1));
        auto const until =
            steady::now() +
            milliseconds(std::stoi(value_or(request.fields, "Wait-Ms", "0")));
        json list = json::array();
        std::uint64_t next = since;
        for (;;)
        {
            {
                std::lock_guard const lock(mutex_);
                for (auto n = since; n < cache_events_.size(); ++n)
                    list.push_back(cache_events_[n]);
                next = std::max<std::uint64_t>(since, cache_events_.size());
            }
            if (!list.empty() || stopped_ || steady::now() >= until)
                break;
            std::this_thread::sleep_for(milliseconds(20));
        }
        return answer_json(conn, {{"boot_epoch", 77120},
                                  {"next", next},
                                  {"lost", false},
                                  {"events", list}});
    }

    bool run_request(message const& request, channel& conn)
    {
        auto const attempt = value_or(request.fields, "Attempt-Id");
        auto const expected = value_or(request.fields, "Expect-Instance", id_);
        if (expected != id_)
            return answer(conn, 421, {{"Attempt-Id", attempt}}, "");
        if (attempt.empty())
            return answer(conn, 400, {{"Not-Executed", "1"}}, "");
        auto const deadline =
            steady::now() + milliseconds(std::stoll(value_or(
                                request.fields, "Deadline-Ms", "15000")));
        auto const usage = value_or(request.fields, "Token-Usage", "0,0");
        auto const comma = usage.find(',');
        auto const prompt = std::stoull(usage.substr(0, comma));
        auto const output = std::stoull(usage.substr(comma + 1));
        auto const tokens = prompt + output;
        around_.log().line("%s gets %s %s", id_.c_str(), attempt.c_str(),
                           request.target().c_str());
        {
            std::unique_lock lock(mutex_);
            ++waiting_;
            auto const fits = [&]
            {
                return running_ < options_.slots &&
                       (options_.kv_total == 0 ||
                        kv_used_ + tokens <= options_.kv_total);
            };
            while (!fits() && !stopped_ && steady::now() < deadline &&
                   !conn.peer_gone())
                freed_.wait_for(lock, milliseconds(20));
            --waiting_;
            if (conn.peer_gone() || stopped_)
                return false;
            if (!fits())
            {
                lock.unlock();
                return answer(conn, 503,
                              {{"Attempt-Id", attempt}, {"Not-Executed", "1"}},
                              "");
            }
            ++running_;
            if (options_.kv_total > 0)
                kv_used_ += tokens;
        }
        note_run(request, attempt);
        headers fields{{"Attempt-Id", attempt},
                       {"Response-Signature", id_ + "." + attempt},
                       {"Instance-Load", load()}};
        bool kept = false;
        if (options_.kv_total > 0)
            kept = stream(conn, fields, output, deadline);
        else
        {
            std::this_thread::sleep_for(options_.work);
            kept = answer(conn, 200, fields, "answer to " + attempt);
        }
        {
            std::lock_guard const lock(mutex_);
            --running_;
            if (options_.kv_total > 0)
                kv_used_ -= tokens;
        }
        freed_.notify_all();
        around_.log().line("%s ends %s%s", id_.c_str(), attempt.c_str(),
                           kept ? "" : ", the channel is gone");
        return kept;
    }

    std::string load()
    {
        std::lock_guard const lock(mutex_);
        return std::to_string(running_) + "," + std::to_string(waiting_) + "," +
               std::to_string(options_.slots);
    }

    void note_run(message const& request, std::string const& attempt)
    {
        run it;
        it.id = attempt;
        it.worker = id_;
        it.path = request.target();
        it.tenant = value_or(request.fields, "Tenant");
        it.body_bytes = request.body.size();
        auto const salt = value_or(request.fields, "Cache-Salt");
        auto parts = value_or(request.fields, "Prompt-Prefix");
        {
            std::lock_guard const lock(mutex_);
            // A part is used if all before it are cached too.
            bool cached = options_.kv_total > 0;
            while (!parts.empty() && options_.kv_total > 0)
            {
                auto const part = parts.substr(0, parts.find(','));
                parts.erase(0, part.size() + 1);
                auto const colon = part.find(':');
                auto const key = salt + "|" + part.substr(0, colon);
                auto const found = cache_.find(key);
                cached = cached && found != cache_.end();
                if (cached)
                {
                    it.used_cache_of.insert(found->second);
                    around_.log().line(
                        "%s: %s of tenant %s uses part %s, made by tenant %s",
                        id_.c_str(), attempt.c_str(), it.tenant.c_str(),
                        key.c_str(), found->second.c_str());
                    continue;
                }
                cache_[key] = it.tenant;
                cache_events_.push_back(json::array(
                    {cache_events_.size() + 1, "+", salt, part.substr(0, colon),
                     std::stoul(part.substr(colon + 1)), options_.model}));
            }
        }
        around_.log().line("%s runs %s for tenant %s, body of %zu bytes",
                           id_.c_str(), attempt.c_str(), it.tenant.c_str(),
                           it.body_bytes);
        runs_.add(std::move(it));
    }

    bool stream(channel& conn, headers const& fields, std::uint64_t events,
                steady::time_point deadline)
    {
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                           "\r\nTransfer-Encoding: chunked\r\nWeight-Versions: "
                           "1\r\nInstance-Id: " +
                           id_ + "\r\n";
        for (auto const& [name, value] : fields)
            head += name + ": " + value + "\r\n";
        if (!conn.write(head + "\r\n"))
            return false;
        for (std::uint64_t n = 1; n <= events; ++n)
        {
            if (stopped_ || steady::now() >= deadline || conn.peer_gone())
                return false;
            auto const event = "id: " + std::to_string(n) + "\ndata: piece " +
                               std::to_string(n) + "\n\n";
            char size[20];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (!conn.write(size + event + "\r\n"))
                return false;
            std::this_thread::sleep_for(options_.event_gap);
        }
        return conn.write("0\r\n\r\n");
    }

    deployment& around_;
    std::string id_;
    options options_;
    run_list& runs_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::condition_variable freed_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    std::uint64_t kv_used_ = 0;
    std::uint64_t beats_ = 0;
    std::map<std::string, std::string> cache_;
    std::vector<json> cache_events_;
    http_server server_;
};

} // namespace review

#endif
