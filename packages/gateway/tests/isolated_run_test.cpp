#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace endiveward::gateway
{

namespace
{

constexpr engine_properties engine{64, 100000, 1};
auto const configuration_deadline = gateway_settings().configuration_deadline;
constexpr int last_event = 40;
constexpr std::chrono::milliseconds event_time{50};

std::string prompt_request(std::string const& path, std::string const& id,
                           std::string const& key)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id +
           "\r\nX-Time: 20000\r\nX-Key: " + key +
           "\r\nX-Model: m\r\nX-Tokens: 600,4\r\nX-Parts: "
           "a:512,b:88\r\nConnection: close\r\n\r\n";
}

/// Two endpoints, which run streams of two seconds. The first run of each
/// stream may wait for a slot before it begins.
struct slow_streams
{
    slow_streams() { configure(1, false); }

    void configure(kernel::config_version version, bool isolated)
    {
        gate.set_isolated(isolated);
        gate.apply(version, std::chrono::seconds(20), engine,
                   std::chrono::seconds(5));
        gate.set_endpoints({one.port(), other.port()});
    }

    bool serve(http_request const& request, scripted_connection& conn)
    {
        auto const resumed = request.headers.value_or("X-Last-Event", "");
        if (++runs == 1 && queues)
            conn.wait(std::chrono::seconds(4));
        conn.begin_stream(request);
        auto first = resumed.empty() ? 1 : std::stoi(std::string(resumed)) + 1;
        for (int n = first; n <= last_event && !conn.is_broken(); ++n)
        {
            conn.event(n);
            conn.wait(event_time);
        }
        conn.end_stream();
        return !conn.is_broken();
    }

    std::vector<http_request> seen() const
    {
        auto res = one.seen();
        for (auto const& it : other.seen())
            res.push_back(it);
        return res;
    }

    std::atomic<bool> queues{false};
    std::atomic<int> runs{0};
    scripted_endpoint one{
        [this](http_request const& request, scripted_connection& conn)
        { return serve(request, conn); }};
    scripted_endpoint other{
        [this](http_request const& request, scripted_connection& conn)
        { return serve(request, conn); }};
    test_gateway gate;
};

/// Whether the text holds each event once and in order.
bool is_whole(std::string const& text)
{
    std::size_t at = 0;
    for (int n = 1; n <= last_event; ++n)
    {
        auto const line = "id: " + std::to_string(n) + "\n";
        auto const found = text.find(line);
        if (found == std::string::npos || found < at ||
            text.find(line, found + 1) != std::string::npos)
            return false;
        at = found;
    }
    return text.ends_with("0\r\n\r\n");
}

} // namespace

// Guards against a stream that its endpoint preempts and reads in again from KV
// cache of others, or of the workspace that has become isolated.
TEST_CASE("a running stream goes on elsewhere after a workspace that shared "
          "its KV cache was isolated")
{
    slow_streams it;
    // `w1` becomes isolated, `w3` is one of the others.
    std::string const key = GENERATE("key1", "key3");
    it.queues = GENERATE(false, true);
    CAPTURE(key, it.queues.load());
    test_caller caller(it.gate.port());
    caller.send(prompt_request("/resume/", "id1", key));
    while (it.runs == 0)
        std::this_thread::sleep_for(event_time);
    if (!it.queues)
        REQUIRE(caller.read_until("id: 1\n").find("id: 1\n") !=
                std::string::npos);
    it.configure(2, true);
    auto const changed = std::chrono::steady_clock::now();
    while (it.runs == 1 &&
           std::chrono::steady_clock::now() < changed + configuration_deadline)
        std::this_thread::sleep_for(event_time);
    CHECK(it.runs == 2);
    auto const text = caller.read_all();
    CHECK(is_whole(text));
    auto const seen = it.seen();
    REQUIRE(seen.size() == 2);
    CHECK(it.one.requests() == 1);
    CHECK(seen[0].headers.value_or("X-Salt", "") !=
          seen[1].headers.value_or("X-Salt", ""));
}

// Guards against streams that are cut, or sent twice, by changes that do not
// concern them, and of those that may run once only.
TEST_CASE("a running stream stays where it is if it may, or has to")
{
    slow_streams it;
    std::string path = "/resume/";
    std::string key = "key3";
    auto isolates = false;
    SECTION("nobody is isolated") {}
    SECTION("a workspace is isolated and set free again")
    {
        isolates = true;
    }
    SECTION("a workspace with KV cache of its own")
    {
        key = "key2";
        isolates = true;
    }
    SECTION("a stream that may run once only")
    {
        path = "/stream/";
        key = "key1";
        isolates = true;
    }
    test_caller caller(it.gate.port());
    caller.send(prompt_request(path, "id1", key));
    REQUIRE(caller.read_until("id: 1\n").find("id: 1\n") != std::string::npos);
    it.configure(2, isolates);
    if (key == "key3")
        it.configure(3, false);
    CHECK(is_whole(caller.read_all()));
    CHECK(it.seen().size() == 1);
}

} // namespace endiveward::gateway
