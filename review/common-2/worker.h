// A model worker and a plain worker, each a process of its own.
#pragma once
#include "net.h"

#include <atomic>
#include <cstdio>
#include <mutex>
#include <set>
#include <sstream>

namespace rv
{

// Arguments: kind (llm or plain), ip, port, id, born, model.
struct worker_options
{
    bool engine = false;
    std::string ip;
    int port = 0;
    std::string id;
    std::string born;
    std::string model;
    long prefill_ms = 300;
    int events = 30;
    long event_ms = 20;
    long call_ms = 15;
};

class worker
{
public:
    explicit worker(worker_options options)
        : it_(std::move(options))
    {
    }
    bool start()
    {
        return serve(it_.ip, it_.port,
                     [this](int fd, message& m) { return handle(fd, m); });
    }

private:
    headers basic(message const& m) const
    {
        return {{"Attempt-Id", m.field("Attempt-Id")},
                {"Instance-Id", it_.id},
                {"Instance-Load", std::to_string(running_.load()) + ",0," +
                                      (it_.engine ? "64" : "6")}};
    }
    bool refuse(int fd, message const& m, int status) const
    {
        auto fields = basic(m);
        fields["Not-Executed"] = "1";
        return send_all(fd, answer(status, fields, ""));
    }
    static long now_ms()
    {
        return std::chrono::duration_cast<ms>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
    static void note(std::string const& line)
    {
        static std::mutex mutex;
        std::lock_guard const lock(mutex);
        std::printf("%s\n", line.c_str());
        std::fflush(stdout);
    }

    bool handle(int fd, message& m)
    {
        auto const target = m.target();
        headers const json{{"Content-Type", "application/json"}};
        if (target == "/report")
            return send_all(fd, answer(200, json, report()));
        if (target == "/order")
        {
            // New weights are not named in these cases.
            return send_all(fd, answer(200, json, "{}"));
        }
        if (target.rfind("/kv-events", 0) == 0)
        {
            nap(std::min(800L, std::atol(m.field("Wait-Ms").c_str())));
            return send_all(
                fd,
                answer(200, json,
                       R"({"boot_epoch":)" + it_.born +
                           R"(,"next":1,"lost":false,"events":[]})"));
        }
        if (target == "/healthz")
            return send_all(fd, answer(200, basic(m), ""));
        auto const id = m.field("Attempt-Id");
        if (id.empty())
            return refuse(fd, m, 400);
        auto const expected = m.field("Expect-Instance");
        auto const version = m.field("Expect-Version");
        if ((!expected.empty() && expected != it_.id) ||
            (!version.empty() && version != "1"))
            return refuse(fd, m, 421);
        note("runs " + std::to_string(now_ms()) + " " + it_.id + " " + id);
        if (it_.engine)
            use_cache(m);
        ++running_;
        auto const kept = it_.engine ? stream(fd, m) : call(fd, m);
        --running_;
        return kept;
    }
    // The worker finds parts under the same text and model, if all parts before
    // them are cached too, and keeps those that it reads.
    void use_cache(message const& m)
    {
        auto const salt = m.field("Cache-Salt");
        auto const tenant = m.field("Tenant");
        auto const prefix = "kv " + std::to_string(now_ms()) + " " + it_.id +
                            " " + m.field("Attempt-Id") + " " + tenant + " " +
                            (salt.empty() ? "-" : salt);
        std::lock_guard const lock(mutex_);
        auto& cached = cache_[salt + "|" + m.field("Model")];
        std::istringstream parts(m.field("Prompt-Prefix"));
        std::string part;
        bool found = true;
        while (std::getline(parts, part, ','))
        {
            part = part.substr(0, part.find(':'));
            auto const known = cached.find(part);
            found = found && known != cached.end();
            if (found)
                note(prefix + " uses " + part + " of " + known->second);
            else if (cached.emplace(part, tenant).second)
                note(prefix + " makes " + part + " of " + tenant);
        }
    }
    bool call(int fd, message const& m)
    {
        nap(it_.call_ms);
        auto fields = basic(m);
        fields["Response-Signature"] = "s." + m.field("Attempt-Id");
        note("ends " + m.field("Attempt-Id"));
        return send_all(fd, answer(200, fields, std::string(800, 'x')));
    }
    bool stream(int fd, message const& m)
    {
        {
            std::lock_guard const lock(mutex_);
            ++unanswered_;
        }
        nap(it_.prefill_ms);
        {
            std::lock_guard const lock(mutex_);
            --unanswered_;
        }
        auto fields = basic(m);
        fields["Response-Signature"] = "s." + m.field("Attempt-Id");
        fields["Weight-Versions"] = "1";
        fields["Content-Type"] = "text/event-stream";
        std::string head = "HTTP/1.1 200 OK\r\n";
        for (auto const& [name, value] : fields)
            head += name + ": " + value + "\r\n";
        if (!send_all(fd, head + "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        auto const after = std::atoi(m.field("Last-Event-Id").c_str());
        for (int n = after + 1; n <= it_.events; ++n)
        {
            auto const event = "id: " + std::to_string(n) + "\ndata: " +
                               std::string(40, 'e') + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (!send_all(fd, size + event + "\r\n"))
                return false;
            ++made_;
            nap(it_.event_ms);
        }
        note("ends " + m.field("Attempt-Id"));
        return send_all(fd, "0\r\n\r\n");
    }
    std::string report()
    {
        std::ostringstream out;
        std::lock_guard const lock(mutex_);
        auto const running = running_.load();
        out << R"({"stage":"unified","models":[{"name":")" << it_.model
            << R"(","version":1,"adapters":[]}],"busy":false,"sequence":0,)"
            << R"("queue_depth":0,"running_count":)" << running
            << R"(,"kv_used":)" << running * 3000
            << R"(,"kv_total":229770,"handles":0,"born":)" << it_.born
            << R"(,"runs":[)";
        auto const answering = std::max(0, running - unanswered_);
        for (int n = 0; n < answering; ++n)
            out << (n > 0 ? "," : "") << R"(["r)" << n << R"(",3000,)"
                << (n == 0 ? std::max(1, made_.load()) : 1) << ",1]";
        out << "]}";
        return out.str();
    }

    worker_options it_;
    std::atomic<int> running_{0};
    std::atomic<int> made_{0};
    std::mutex mutex_;
    int unanswered_ = 0;
    // Which tenant's request made a part, by text and model.
    std::map<std::string, std::map<std::string, std::string>> cache_;
};

} // namespace rv
