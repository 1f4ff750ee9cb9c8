// New weights are named soon after the store of kept KV cache was down and came
// back empty.
#include "../common-3/rig.hpp"

using namespace rig;

namespace
{

constexpr int worker_count = 12;
constexpr int sessions = 12;
constexpr int shared_tokens = 4000;
constexpr int own_tokens = 1000;
/// Room of a worker; `kv_capacity_tokens` of the configuration.
constexpr int capacity = 244711;
constexpr int pieces = 80;
constexpr auto piece_time = 150ms;
constexpr auto load_time = 760ms;
constexpr auto store_down_time = 2s;
std::string const kv_store_address = "127.0.0.9:8781";

std::atomic<int> stale{0};
std::atomic<int> reused{0};

/// Kept parts under their salt, with the version of the weights that made them.
struct kept_parts
{
    std::mutex mutex;
    std::map<std::string, int> made_by;

    std::optional<int> find(std::string const& key)
    {
        std::lock_guard const lock(mutex);
        auto const found = made_by.find(key);
        return found == made_by.end() ? std::nullopt
                                      : std::optional(found->second);
    }
    /// What is there stays as it was first made.
    bool add(std::string const& key, int version)
    {
        std::lock_guard const lock(mutex);
        return made_by.emplace(key, version).second;
    }
    void clear()
    {
        std::lock_guard const lock(mutex);
        made_by.clear();
    }
};

/// The store of KV cache, which only workers call.
struct kv_store
{
    kept_parts parts;
    std::atomic<bool> down{false};
};

kv_store keep;

/// What the case knows of a worker beside what it tells.
struct engine
{
    kept_parts parts;
    std::atomic<int> loads{0};
};

std::map<std::string, std::unique_ptr<engine>> engines;
/// Sessions whose stream was read in again, by the shared part of their prompt.
kept_parts read_again;

std::vector<std::string> part_names(message const& request)
{
    std::vector<std::string> res;
    auto const text = request.get("Prompt-Prefix");
    for (std::size_t at = 0; at < text.size();)
    {
        auto const end = std::min(text.find(',', at), text.size());
        res.push_back(text.substr(at, text.find(':', at) - at));
        at = end + 1;
    }
    return res;
}

/// Reads the prompt: takes parts from the own memory or, where the request
/// says so, from the store; the rest is made under the present weights.
void read_prompt(worker& self, message const& request, bool goes_on)
{
    auto& own = engines.at(self.id)->parts;
    auto const salt = request.get("Cache-Salt");
    auto const id = request.get("Attempt-Id");
    int const weights = self.weights;
    for (auto const& part : part_names(request))
    {
        auto const key = salt + " " + part;
        auto made = own.find(key);
        auto const* from = "its own memory";
        if (!made && request.get("Kv-Source") == kv_store_address && !keep.down)
        {
            made = keep.parts.find(key);
            from = "the KV store";
        }
        if (made)
        {
            ++reused;
            record::line("%s (weights %d) takes part %s under salt %s for %s "
                         "from %s, made by weights %d",
                         self.id.c_str(), weights, part.c_str(), salt.c_str(),
                         id.c_str(), from, *made);
            if (*made != weights && !goes_on)
            {
                ++stale;
                record::line("%s runs %s on KV cache of other weights",
                             self.id.c_str(), id.c_str());
            }
        }
        auto const version = made.value_or(weights);
        if (own.add(key, version))
            self.cache_event("+", salt, part,
                             part[0] == 'a' ? shared_tokens : own_tokens);
        if (request.get("Kv-Target") == kv_store_address && !keep.down &&
            keep.parts.add(key, version))
            record::line("%s sends part %s under salt %s of %s to the KV "
                         "store, made by weights %d",
                         self.id.c_str(), part.c_str(), salt.c_str(),
                         id.c_str(), version);
    }
    std::this_thread::sleep_for(80ms);
}

bool serve(worker& self, channel& conn, message const& request)
{
    auto const id = request.get("Attempt-Id");
    if (self.busy)
        return conn.send(self.refusal(request, 503));
    auto const is_long = request.target().starts_with("/review/first");
    auto& own = *engines.at(self.id);
    int loads = own.loads;
    record::line("%s (weights %d) runs %s, Expect-Version %s, Kv-Source "
                 "\"%s\", Kv-Target \"%s\"",
                 self.id.c_str(), self.weights.load(), id.c_str(),
                 request.get("Expect-Version").c_str(),
                 request.get("Kv-Source").c_str(),
                 request.get("Kv-Target").c_str());
    read_prompt(self, request, false);
    ++self.running;
    bool whole = conn.send(
        "HTTP/1.1 200 OK\r\n" + self.fields(request) + self.signature(request) +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: "
        "chunked\r\n\r\n");
    for (int n = 1; n <= (is_long ? pieces : 3) && whole; ++n)
    {
        if (is_long && loads != own.loads && !self.busy)
        {
            // The run goes on under the new weights. Memory runs out, so that
            // it is preempted and read in again.
            loads = own.loads;
            self.kv_used = capacity;
            record::line(
                "%s preempts %s and reads it in again under weights %d",
                self.id.c_str(), id.c_str(), self.weights.load());
            read_prompt(self, request, true);
            read_again.add(part_names(request).front(), self.weights);
        }
        whole = conn.send(chunk(event(n, "piece " + std::to_string(n))));
        std::this_thread::sleep_for(piece_time);
        whole = whole && !conn.peer_closed();
    }
    --self.running;
    return whole && conn.send("0\r\n\r\n");
}

int call(machine const& at, std::string const& path, std::string const& attempt,
         std::string const& prompt)
{
    auto const conn = channel::connect(at.ip, at.front);
    if (!conn)
        return 0;
    conn->send(
        "POST " + path +
        " HTTP/1.1\r\nHost: llm.example\r\nAttempt-Id: " + attempt +
        "\r\nModel: m0\r\nToken-Usage: 5000,64\r\nPrompt-Prefix: " + prompt +
        "\r\nDeadline-Ms: 15000\r\nKey: key-of-sese880\r\nContent-Length: "
        "2\r\n\r\nhi");
    message head;
    if (!conn->read_head(head, 15000ms))
        return 0;
    std::string text;
    while (head.status() == 200 && conn->read_chunk(text, 6400ms) &&
           !text.empty())
        ;
    return head.status();
}

int play(std::string const& bin, bool trouble)
{
    deployment all(bin);
    for (int n = 0; n < worker_count; ++n)
    {
        auto const id = "i-" + std::to_string(10 + n);
        engines[id] = std::make_unique<engine>();
        auto& it = all.add_worker({id, "llm-pool"}, serve);
        // A load of weights discards what the worker has stored.
        it.on_order = [](worker& self, json const& order)
        {
            std::thread(
                [&self, version = order.at("version").get<int>()]
                {
                    std::this_thread::sleep_for(load_time);
                    auto& own = *engines.at(self.id);
                    own.parts.clear();
                    self.weights = version;
                    ++own.loads;
                    self.busy = false;
                    record::line("%s has loaded weights %d", self.id.c_str(),
                                 version);
                })
                .detach();
        };
    }
    json const route{{"name", "sample-review"}, {"hostname", "llm.example"},
                     {"prefix", "/review/"},    {"route_type", "streaming"},
                     {"timeout_ms", 15000},     {"target_latency_ms", 1000},
                     {"target_gap_ms", 800},    {"priority", 1},
                     {"max_attempts", 1},       {"public", false},
                     {"sticky", true},          {"resumable", false},
                     {"service", "llm-pool"}};
    json const store{
        {"name", "prompt-keep"}, {"kv_store_addr", kv_store_address},
        {"zone", "hall-a"},      {"kv_capacity_tokens", 935454},
        {"link_mbps", 31000.0},  {"max_in_flight", 12}};
    all.rows.put(
        "op", "config",
        configuration(2, json::array({route}),
                      json::array({engine_service("llm-pool"), store})));
    all.rows.put("op", "version/m0", {{"model", "m0"}, {"version", 1}});
    for (auto const& it : all.workers)
        all.add_agent(*it);
    auto& router = all.add_router();
    all.add_router();
    all.wait_ready();
    std::this_thread::sleep_for(2s);

    std::atomic<int> served{0};
    std::vector<std::thread> consumers;
    for (int n = 0; n < sessions; ++n)
    {
        auto const shared = "a" + std::to_string(100 + n);
        consumers.emplace_back(
            [&, n, shared]
            {
                auto const name = "f" + std::to_string(n);
                auto const status =
                    call(router, "/review/first", name,
                         shared + ":" + std::to_string(shared_tokens) + ",b" +
                             std::to_string(100 + n) + ":" +
                             std::to_string(own_tokens));
                record::line("%s is answered %d", name.c_str(), status);
                served += status == 200;
            });
        // The next request of the session.
        consumers.emplace_back(
            [&, n, shared]
            {
                for (int k = 0; k < 900 && !read_again.find(shared); ++k)
                    std::this_thread::sleep_for(10ms);
                std::this_thread::sleep_for(200ms);
                auto const name = "n" + std::to_string(n);
                auto const status =
                    call(router, "/review/next", name,
                         shared + ":" + std::to_string(shared_tokens) + ",b" +
                             std::to_string(300 + n) + ":" +
                             std::to_string(own_tokens));
                record::line("%s is answered %d", name.c_str(), status);
            });
        std::this_thread::sleep_for(60ms);
    }
    std::this_thread::sleep_for(500ms);
    if (trouble)
    {
        record::line("the KV store is down");
        keep.down = true;
        std::this_thread::sleep_for(store_down_time);
        keep.parts.clear();
        keep.down = false;
        record::line("the KV store is back, empty");
    }
    std::this_thread::sleep_for(500ms);
    record::line("weights 2 are named");
    all.rows.put("op", "version/m0", {{"model", "m0"}, {"version", 2}});
    for (auto& it : consumers)
        it.join();
    record::line("first requests served: %d of %d; parts reused: %d; requests "
                 "that ran on KV cache of other weights: %d",
                 served.load(), sessions, reused.load(), stale.load());
    if (served < sessions)
        cannot_run("not all first requests were served");
    return stale > 0 ? 1 : 0;
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
        record::line(res == 0 ? "STALE held" : "STALE was broken");
        return res;
    }
    catch (std::exception const&)
    {
        return 2;
    }
}
