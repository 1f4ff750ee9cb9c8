// A tenant is isolated while streams of it run. Their workers preempt them
// later and read them in again.
#include "../common-3/rig.hpp"

using namespace rig;

namespace
{

constexpr int worker_count = 4;
constexpr int streams = 8;
constexpr int pieces = 60;
constexpr auto piece_time = 120ms;
/// How long after the confirmation of the change requests are judged;
/// `config_apply_ms` is 2,000.
constexpr double judged_after = 2.0;
constexpr auto preempted_after = 3500ms;

std::atomic<int> foreign{0};
std::atomic<int> foreign_before{0};
std::atomic<double> isolated_at{0};
std::atomic<bool> preempts{false};

/// Kept parts of one worker under their salt, with the tenant whose request
/// made them.
struct engine
{
    std::mutex mutex;
    std::map<std::string, std::string> made_by;
};

std::map<std::string, std::unique_ptr<engine>> engines;

void read_prompt(worker& self, message const& request, bool again)
{
    auto& own = *engines.at(self.id);
    auto const tenant = request.get("Tenant");
    auto const salt = request.get("Cache-Salt");
    auto const id = request.get("Attempt-Id");
    auto const text = request.get("Prompt-Prefix");
    std::lock_guard const lock(own.mutex);
    for (std::size_t at = 0; at < text.size();)
    {
        auto const end = std::min(text.find(',', at), text.size());
        auto const colon = text.find(':', at);
        auto const part = text.substr(at, colon - at);
        auto const tokens = std::atoi(text.c_str() + colon + 1);
        at = end + 1;
        auto const [found, added] =
            own.made_by.emplace(salt + " " + part, tenant);
        if (added)
        {
            self.cache_event("+", salt, part, tokens);
            continue;
        }
        auto const isolated = isolated_at.load();
        auto const judged = isolated > 0 && seconds() > isolated + judged_after;
        if (found->second == tenant ||
            (tenant != "alpha" && found->second != "alpha"))
            continue;
        ++(judged ? foreign : foreign_before);
        if (judged)
            record::line("%s%s: %s of %s uses part %s under salt %s that a "
                         "request of %s made, %.1f s after the confirmation",
                         self.id.c_str(), again ? " reads in again" : "",
                         id.c_str(), tenant.c_str(), part.c_str(), salt.c_str(),
                         found->second.c_str(), seconds() - isolated);
    }
}

bool serve(worker& self, channel& conn, message const& request)
{
    auto const id = request.get("Attempt-Id");
    auto const is_long = request.target().starts_with("/tag/long");
    auto const first = std::atoi(request.get("Last-Event-Id").c_str()) + 1;
    record::line("%s runs %s of %s from piece %d, salt %s", self.id.c_str(),
                 id.c_str(), request.get("Tenant").c_str(), first,
                 request.get("Cache-Salt").c_str());
    read_prompt(self, request, false);
    ++self.running;
    bool whole = conn.send(
        "HTTP/1.1 200 OK\r\n" + self.fields(request) + self.signature(request) +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: "
        "chunked\r\n\r\n");
    bool preempted = false;
    for (int n = first; n <= (is_long ? pieces : 2) && whole; ++n)
    {
        if (is_long && preempts && !std::exchange(preempted, true))
        {
            record::line("%s preempts %s", self.id.c_str(), id.c_str());
            std::this_thread::sleep_for(300ms);
            read_prompt(self, request, true);
        }
        whole = !conn.peer_closed() &&
                conn.send(chunk(event(n, "piece " + std::to_string(n))));
        std::this_thread::sleep_for(is_long ? piece_time : 5ms);
    }
    --self.running;
    return whole && conn.send("0\r\n\r\n");
}

int call(machine const& at, std::string const& path, std::string const& attempt,
         std::string const& key)
{
    auto const conn = channel::connect(at.ip, at.front);
    if (!conn)
        return 0;
    conn->send("POST " + path +
               " HTTP/1.1\r\nHost: llm.example\r\nAttempt-Id: " + attempt +
               "\r\nModel: m0\r\nToken-Usage: 2400,60\r\nPrompt-Prefix: "
               "aa01:2000,bb" +
               attempt.substr(1) + ":400\r\nDeadline-Ms: 15000\r\nKey: " + key +
               "\r\nContent-Length: 2\r\n\r\nhi");
    message head;
    if (!conn->read_head(head, 15000ms))
        return 0;
    std::string text;
    while (head.status() == 200 && conn->read_chunk(text, 6400ms) &&
           !text.empty())
        ;
    return text.empty() ? head.status() : 0;
}

json config_with(int version, bool isolated)
{
    json const route{{"name", "line-tag"},   {"hostname", "llm.example"},
                     {"prefix", "/tag/"},    {"route_type", "streaming"},
                     {"timeout_ms", 15000},  {"target_latency_ms", 600},
                     {"target_gap_ms", 800}, {"priority", 0},
                     {"max_attempts", 2},    {"public", false},
                     {"sticky", true},       {"resumable", true},
                     {"service", "llm-pool"}};
    auto res = configuration(version, json::array({route}),
                             json::array({engine_service("llm-pool")}));
    res["tenants"] = json::array({{{"name", "alpha"},
                                   {"api_keys", json::array({"key-of-alpha"})},
                                   {"priority", 1},
                                   {"isolated", isolated}},
                                  {{"name", "beta"},
                                   {"api_keys", json::array({"key-of-beta"})},
                                   {"priority", 1},
                                   {"isolated", false}}});
    return res;
}

int play(std::string const& bin, bool trouble)
{
    deployment all(bin);
    for (int n = 0; n < worker_count; ++n)
    {
        auto const id = "i-a" + std::to_string(n + 1);
        engines[id] = std::make_unique<engine>();
        all.add_worker({id, "llm-pool"}, serve);
    }
    all.rows.put("op", "config", config_with(2, false));
    all.rows.put("op", "version/m0", {{"model", "m0"}, {"version", 1}});
    for (auto const& it : all.workers)
        all.add_agent(*it);
    auto& router = all.add_router();
    all.add_router();
    all.wait_ready();
    std::this_thread::sleep_for(1s);

    // Requests of beta read the part that all requests share at the workers.
    std::vector<std::thread> readers;
    for (int n = 0; n < 24; ++n)
    {
        readers.emplace_back(
            [&, n]
            {
                if (call(router, "/tag/short", "b" + std::to_string(100 + n),
                         "key-of-beta") != 200)
                    record::line("b%d is not served", 100 + n);
            });
    }
    for (auto& it : readers)
        it.join();

    std::atomic<int> served{0};
    std::vector<std::thread> consumers;
    for (int n = 0; n < streams; ++n)
        consumers.emplace_back(
            [&, n]
            {
                served +=
                    call(router, "/tag/long", "a" + std::to_string(200 + n),
                         "key-of-alpha") == 200;
            });
    std::this_thread::sleep_for(1s);
    if (trouble)
    {
        all.rows.put("op", "config", config_with(3, true));
        isolated_at = seconds();
        record::line(
            "the store confirms version 3, in which alpha is isolated");
    }
    std::this_thread::sleep_for(preempted_after);
    preempts = true;
    for (auto& it : consumers)
        it.join();
    record::line("streams served: %d of %d; parts of the other tenant used "
                 "before the change: %d, more than 2 s after it: %d",
                 served.load(), streams, foreign_before.load(), foreign.load());
    if (served < streams)
        cannot_run("not all streams were served");
    return foreign > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    record::open(argv[2]);
    auto const* const trouble = std::getenv("TROUBLE");
    try
    {
        auto const res =
            play(argv[1], trouble == nullptr || std::string(trouble) != "0");
        record::line(res == 0 ? "WALL held" : "WALL was broken");
        return res;
    }
    catch (std::exception const&)
    {
        return 2;
    }
}
