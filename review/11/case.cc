// New weights are loaded while a request that may run once waits at the worker.
// The worker refuses it, and later writes this refusal once more.
#include "../common-3/rig.hpp"

using namespace rig;

namespace
{

constexpr int pieces = 10;
constexpr auto piece_time = 100ms;
constexpr auto load_time = 760ms;
/// Requests that a worker queues beyond its slots.
constexpr int queue_places = 8;

std::mutex mutex;
/// Runs by the id of the attempt.
std::map<std::string, int> begun;
std::map<std::string, int> completed;
std::atomic<worker*> first_worker{nullptr};
std::atomic<bool> spoils{false};
/// From now on the slots of the workers are taken, by requests of other
/// routers.
std::atomic<bool> full{false};
std::atomic<int> answers{0};
std::atomic<int> copies{0};

bool run(worker& self, channel& conn, message const& request)
{
    auto const id = request.get("Attempt-Id");
    auto const is_long = request.target().starts_with("/review/long");
    {
        std::lock_guard const lock(mutex);
        ++begun[id];
    }
    if (is_long)
        record::line("%s (weights %d) begins to run %s", self.id.c_str(),
                     self.weights.load(), id.c_str());
    ++self.running;
    ++answers;
    bool whole = conn.send(
        "HTTP/1.1 200 OK\r\n" + self.fields(request) + self.signature(request) +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: "
        "chunked\r\n\r\n");
    for (int n = 1; n <= (is_long ? pieces : 2) && whole; ++n)
    {
        whole = conn.send(chunk(event(n, "piece " + std::to_string(n))));
        std::this_thread::sleep_for(is_long ? piece_time : 5ms);
        whole = whole && !conn.peer_closed();
    }
    --self.running;
    if (is_long)
        record::line("%s %s %s", self.id.c_str(),
                     whole ? "has run to the end:"
                           : "drops a request whose channel was closed:",
                     id.c_str());
    if (!whole)
        return false;
    std::lock_guard const lock(mutex);
    ++completed[id];
    return conn.send("0\r\n\r\n");
}

bool refuse(worker& self, channel& conn, message const& request,
            char const* why)
{
    ++answers;
    record::line("%s refuses %s (%s): 503, Not-Executed, Weight-Versions %d",
                 self.id.c_str(), request.get("Attempt-Id").c_str(), why,
                 self.weights.load());
    return conn.send(self.refusal(request, 503));
}

bool serve(worker& self, channel& conn, message const& request)
{
    if (!full)
        return run(self, conn, request);
    auto* none = static_cast<worker*>(nullptr);
    first_worker.compare_exchange_strong(none, &self);
    if (first_worker != &self)
        return refuse(self, conn, request, "full");
    if (self.weights > 1)
        return run(self, conn, request);
    // It waits for a slot. The load of new weights, which goes on with the
    // requests that run, refuses those that have not started.
    record::line("%s queues %s (Expect-Version %s)", self.id.c_str(),
                 request.get("Attempt-Id").c_str(),
                 request.get("Expect-Version").c_str());
    while (self.weights == 1 && !self.ended())
        std::this_thread::sleep_for(1ms);
    refuse(self, conn, request, "has not started before the order");
    // On the same channel, the next request is preceded by this answer once
    // more, if the worker is faulty.
    auto const earlier = self.refusal(request, 503);
    message next;
    if (!conn.read(next, 20000ms))
        return false;
    if (spoils.exchange(false))
    {
        ++copies;
        record::line("%s writes the refusal of %s once more, before it serves "
                     "%s on the same channel",
                     self.id.c_str(), request.get("Attempt-Id").c_str(),
                     next.get("Attempt-Id").c_str());
        conn.send(earlier);
    }
    return run(self, conn, next);
}

int call(machine const& at, std::string const& path, std::string const& attempt)
{
    auto const conn = channel::connect(at.ip, at.front);
    if (!conn)
        return 0;
    conn->send("POST " + path +
               " HTTP/1.1\r\nHost: llm.example\r\nAttempt-Id: " + attempt +
               "\r\nModel: m0\r\nToken-Usage: 800,24\r\nPrompt-Prefix: "
               "aa01:300,bb" +
               attempt.substr(1) +
               ":500\r\nDeadline-Ms: 15000\r\nKey: "
               "key-of-sese880\r\nContent-Length: 2\r\n\r\nhi");
    message head;
    if (!conn->read_head(head, 15000ms))
        return 0;
    std::string text;
    while (head.status() == 200 && conn->read_chunk(text, 8000ms) &&
           !text.empty())
        ;
    if (attempt[0] == 'x')
        record::line("%s is answered %d, Retry-After \"%s\"", attempt.c_str(),
                     head.status(), head.get("Retry-After").c_str());
    return head.status();
}

int play(std::string const& bin, bool trouble)
{
    deployment all(bin);
    for (auto const* name : {"i-a1", "i-a2"})
    {
        auto& it = all.add_worker({name, "llm-pool"}, serve);
        it.checks_room_first = true;
        it.on_order = [](worker& self, json const& order)
        {
            std::thread(
                [&self, version = order.at("version").get<int>()]
                {
                    std::this_thread::sleep_for(load_time);
                    // Many of the runs have ended meanwhile.
                    if (first_worker == &self)
                    {
                        self.running = self.slots / 4;
                        self.waiting = 0;
                    }
                    self.weights = version;
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
    all.rows.put("op", "config",
                 configuration(2, json::array({route}),
                               json::array({engine_service("llm-pool")})));
    all.rows.put("op", "version/m0", {{"model", "m0"}, {"version", 1}});
    for (auto const& it : all.workers)
        all.add_agent(*it);
    auto& router = all.add_router();
    all.add_router();
    all.wait_ready();
    std::this_thread::sleep_for(1s);
    // Usual traffic, from which the router earns its retries.
    for (int n = 0; n < 80; ++n)
    {
        if (call(router, "/review/short", "w" + std::to_string(1000 + n)) !=
            200)
            cannot_run("usual requests are not served");
    }
    for (auto const& it : all.workers)
    {
        it->running = it->slots;
        it->waiting = queue_places / 2;
    }
    full = true;
    spoils = trouble;
    int status = 0;
    std::thread consumer([&]
                         { status = call(router, "/review/long", "x2001"); });
    std::this_thread::sleep_for(100ms);
    record::line("weights 2 are named");
    all.rows.put("op", "version/m0", {{"model", "m0"}, {"version", 2}});
    consumer.join();
    std::this_thread::sleep_for(1500ms);
    std::lock_guard const lock(mutex);
    record::line("x2001: answered %d, begun %d times, run to the end %d times; "
                 "answers of the workers: %d, written once more: %d",
                 status, begun["x2001"], completed["x2001"], answers.load(),
                 copies.load());
    if (status == 0 || (!trouble && status != 200))
        cannot_run("the request was not answered as it is without the copy");
    auto const promised =
        status == 503 || status == 429 || status == 408 || status == 421;
    return (promised && begun["x2001"] > 0) || begun["x2001"] > 1 ? 1 : 0;
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
        record::line(res == 0 ? "REFUSED and TWICE held"
                              : "REFUSED or TWICE was broken");
        return res;
    }
    catch (std::exception const&)
    {
        return 2;
    }
}
