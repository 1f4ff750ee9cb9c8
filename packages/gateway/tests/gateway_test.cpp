#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <thread>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

bool answer_ok(http_request const& request, scripted_connection& conn)
{
    conn.answer(request, 200, "ok");
    return true;
}

} // namespace

TEST_CASE("a request is forwarded and its response returned unchanged")
{
    scripted_endpoint endpoint(answer_ok);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/safe/a?b=c", "id1", "X-Workspace: forged\r\n"));
    auto const text = caller.read_until("\r\n\r\nok");
    CHECK(text.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(contains(text, "X-Signature: sig\r\n"));
    CHECK(contains(text, "X-Id: id1\r\n"));
    auto const seen = endpoint.seen();
    REQUIRE(seen.size() == 1);
    CHECK(seen[0].target == "/safe/a?b=c");
    CHECK(seen[0].headers.value_or("X-Workspace", "") == "w1");
    CHECK(seen[0].headers.value_or("X-Endpoint-Wanted", "") == "e0");
    CHECK(seen[0].headers.find("X-Key") == nullptr);
}

TEST_CASE("requests that the configuration does not allow are refused")
{
    scripted_endpoint endpoint(answer_ok);
    test_gateway gate;
    test_caller caller(gate.port());
    // Without a configuration the answer must not be 404, which callers take as
    // final.
    caller.send(get_request("/safe/", "id0"));
    auto const early = caller.read_until("no_configuration");
    CHECK(early.starts_with("HTTP/1.1 503"));
    CHECK(contains(early, "Retry-After: 0."));
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    caller.clear();
    caller.send(get_request("/other/", "id1"));
    CHECK(caller.read_until("no_route").starts_with("HTTP/1.1 404"));
    caller.clear();
    caller.send("GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: id2\r\nX-Key: "
                "nokey\r\n\r\n");
    CHECK(caller.read_until("unknown_key").starts_with("HTTP/1.1 401"));
    CHECK(endpoint.requests() == 0);
}

// Guards against a late second response that is delivered to another caller.
TEST_CASE("a surplus response is not delivered to the next request")
{
    scripted_endpoint endpoint(
        [](http_request const& request, scripted_connection& conn)
        {
            if (request.target == "/safe/2")
                conn.send("HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Signature: s\r\n"
                          "Content-Length: 5\r\n\r\nwrong");
            conn.answer(request, 200, "right" + request.target);
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/safe/1", "id1"));
    caller.read_until("right/safe/1");
    caller.clear();
    caller.send(get_request("/safe/2", "id2"));
    auto const text = caller.read_until("right/safe/2");
    CHECK(contains(text, "X-Id: id2\r\n"));
    CHECK_FALSE(contains(text, "wrong"));
}

// Guards against a truncated response that is forwarded as a complete one.
TEST_CASE("a truncated response is not forwarded as a success")
{
    scripted_endpoint endpoint(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.send("HTTP/1.1 200 OK\r\nX-Id: " +
                      std::string(request.headers.value_or("X-Id", "")) +
                      "\r\nX-Signature: s\r\nContent-Length: 9\r\n\r\nabc");
            return false;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(endpoint.requests() == 1);
}

TEST_CASE("a success without the endpoint's signature is rejected")
{
    scripted_endpoint endpoint(
        [](http_request const&, scripted_connection& conn)
        {
            conn.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
}

// Guards against a request that runs twice, and against a refusal that claims
// that a request has not run although it may have.
TEST_CASE("an at-most-once request is not retried after it may have run")
{
    int const variant = GENERATE(0, 1, 2);
    scripted_endpoint first(
        [variant](http_request const& request, scripted_connection& conn)
        {
            if (variant == 0)
                conn.reset();
            if (variant == 1)
                conn.answer(request, 503, "");
            if (variant == 2)
                conn.send("garbage\r\n\r\n");
            return false;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({first.port(), first.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(first.requests() == 1);
}

TEST_CASE("a refused request is sent to another endpoint")
{
    auto const* const path = GENERATE("/once/", "/safe/");
    scripted_endpoint refusing(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 503, "", "X-Not-Run: 1\r\n");
            return true;
        });
    scripted_endpoint serving(answer_ok);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({refusing.port(), serving.port()});
    for (int n = 0; n < 8; ++n)
    {
        test_caller caller(gate.port());
        caller.send(get_request(path, "id" + std::to_string(n)));
        CHECK(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
    }
}

// Guards against refusals that arrive late or do not tell the caller when to
// try again.
TEST_CASE("a request that no endpoint runs is refused with Retry-After")
{
    scripted_endpoint refusing(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 503, "", "X-Not-Run: 1\r\n");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({refusing.port()});
    test_caller caller(gate.port());
    auto const begin = std::chrono::steady_clock::now();
    caller.send(get_request("/once/", "id1"));
    auto const text = caller.read_until("\r\n\r\n");
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(contains(text, "Retry-After: 0."));
    CHECK(std::chrono::steady_clock::now() - begin < milliseconds(1500));
}

TEST_CASE("an idempotent request is retried after a failure")
{
    scripted_endpoint failing(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 500, "");
            return true;
        });
    scripted_endpoint serving(answer_ok);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({failing.port(), serving.port()});
    for (int n = 0; n < 8; ++n)
    {
        test_caller caller(gate.port());
        caller.send(get_request("/safe/", "id" + std::to_string(n)));
        CHECK(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("an idempotent request without a response is retried in time")
{
    scripted_endpoint silent([](http_request const&, scripted_connection&)
                             { return true; });
    scripted_endpoint serving(answer_ok);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({silent.port(), serving.port()});
    for (int n = 0; n < 4; ++n)
    {
        test_caller caller(gate.port());
        caller.send(get_request("/safe/", "id" + std::to_string(n)));
        CHECK(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
    }
}

// Guards against lost or duplicated events when a stream is resumed.
TEST_CASE("a broken stream is resumed after its last event")
{
    auto const serve =
        [](http_request const& request, scripted_connection& conn)
    {
        auto const after = request.headers.value_or("X-Last-Event", "");
        conn.begin_stream(request);
        if (after.empty())
        {
            conn.event(1);
            conn.event(2);
            conn.chunk("id: 3\nda");
            conn.reset();
            return false;
        }
        for (int n = std::stoi(std::string(after)) + 1; n <= 5; ++n)
            conn.event(n);
        conn.end_stream();
        return true;
    };
    scripted_endpoint one(serve);
    scripted_endpoint two(serve);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({one.port(), two.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", "id1"));
    auto const text = caller.read_until("0\r\n\r\n");
    std::size_t at = 0;
    for (int n = 1; n <= 5; ++n)
    {
        auto const marker = "id: " + std::to_string(n) + "\n";
        auto const found = text.find(marker);
        REQUIRE(found != std::string::npos);
        CHECK(found > at);
        CHECK(text.find(marker, found + 1) == std::string::npos);
        at = found;
    }
    CHECK(one.requests() + two.requests() == 2);
}

// Guards against an incomplete stream that is terminated like a complete one.
TEST_CASE("a stream that cannot be resumed has no terminating chunk")
{
    scripted_endpoint endpoint(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.begin_stream(request);
            conn.event(1);
            conn.reset();
            return false;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/stream/", "id1"));
    auto const text = caller.read_all();
    CHECK(caller.ended());
    CHECK(contains(text, "id: 1\n"));
    CHECK_FALSE(contains(text, "\r\n0\r\n\r\n"));
    CHECK(endpoint.requests() == 1);
}

// Guards against moving a stream away from a working endpoint because of a
// short pause between events. Such a stream was cut off when other endpoints,
// with another version of the weights than expected, refused it three times in
// a row.
TEST_CASE("a stream stays at a working endpoint during a pause")
{
    scripted_endpoint endpoint(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.begin_stream(request);
            conn.event(1);
            conn.wait(milliseconds(600));
            conn.event(2);
            conn.end_stream();
            return true;
        });
    scripted_endpoint refusing(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 421, "", "X-Not-Run: 1\r\n");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", "id1"));
    caller.read_until("id: 1\n");
    gate.set_endpoints({endpoint.port(), refusing.port()});
    auto const text = caller.read_until("0\r\n\r\n");
    CHECK(contains(text, "id: 2\n"));
    CHECK(refusing.requests() == 0);
}

// Guards against endpoints that keep working for callers that have
// disconnected.
TEST_CASE("a caller's disconnect closes the connection to the endpoint")
{
    scripted_endpoint endpoint(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.begin_stream(request);
            conn.event(1);
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/stream/", "id1"));
    caller.read_until("id: 1\n");
    CHECK(endpoint.connections() == 1);
    caller.close();
    // The connection to the endpoint was closed, so the next request needs a
    // new one.
    std::this_thread::sleep_for(milliseconds(200));
    test_caller next(gate.port());
    next.send(get_request("/stream/", "id2"));
    next.read_until("id: 1\n");
    CHECK(endpoint.connections() == 2);
}

TEST_CASE("a request without a response ends at the timeout of its route")
{
    scripted_endpoint silent([](http_request const&, scripted_connection&)
                             { return true; });
    test_gateway gate;
    gate.apply(1, milliseconds(300));
    gate.set_endpoints({silent.port()});
    test_caller caller(gate.port());
    auto const begin = std::chrono::steady_clock::now();
    caller.send(get_request("/once/", "id1"));
    auto const text = caller.read_until("\r\n\r\n");
    auto const took = std::chrono::steady_clock::now() - begin;
    CHECK(text.starts_with("HTTP/1.1 504"));
    CHECK(took >= milliseconds(300));
    auto const seen = silent.seen();
    REQUIRE(seen.size() == 1);
    CHECK(std::stoi(std::string(seen[0].headers.value_or("X-Time", "0"))) <=
          300);
}

// Guards against a return to an older version of the configuration.
TEST_CASE("an older configuration is not applied")
{
    scripted_endpoint endpoint(answer_ok);
    test_gateway gate;
    gate.apply(5);
    gate.set_endpoints({endpoint.port()});
    gate.run(
        [&]
        {
            gate.get().apply(std::make_shared<routing_table const>(
                routing_config{4, {}, {}, {}, {}}));
        });
    test_caller caller(gate.port());
    caller.send(get_request("/safe/", "id1"));
    CHECK(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
}

// Guards against requests that are accepted on open connections long after the
// stop signal and are cut off when the process exits.
TEST_CASE("a stopping gateway completes open requests and refuses new ones")
{
    scripted_endpoint endpoint(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.wait(milliseconds(300));
            conn.answer(request, 200, "ok");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller busy(gate.port());
    test_caller idle(gate.port());
    busy.send(get_request("/once/", "id1"));
    while (endpoint.requests() == 0)
        std::this_thread::sleep_for(milliseconds(5));
    gate.run([&] { gate.get().announce_stop(); });
    gate.run([&] { gate.get().stop_listening(); });
    idle.send(get_request("/once/", "id2"));
    auto const refused = idle.read_until("stopping");
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(contains(refused, "Retry-After: "));
    CHECK(contains(refused, "Connection: close\r\n"));
    auto const text = busy.read_until("\r\n\r\nok");
    CHECK(text.starts_with("HTTP/1.1 200"));
    CHECK(contains(text, "Connection: close\r\n"));
    CHECK(endpoint.requests() == 1);
}

// Guards against requests to an address that now belongs to another endpoint.
TEST_CASE("an address that belongs to another endpoint is not used again")
{
    scripted_endpoint other(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 421, "",
                        "X-Not-Run: 1\r\nX-Endpoint: someone-else\r\n");
            return true;
        });
    scripted_endpoint serving(answer_ok);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({other.port(), serving.port()});
    for (int n = 0; n < 10; ++n)
    {
        test_caller caller(gate.port());
        caller.send(get_request("/once/", "id" + std::to_string(n)));
        CHECK(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
    }
    CHECK(other.requests() <= 1);
}

TEST_CASE("a connection that the endpoint has closed is not reused")
{
    scripted_endpoint endpoint(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 200, "ok");
            return false;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    for (int n = 0; n < 3; ++n)
    {
        caller.clear();
        caller.send(get_request("/once/", "id" + std::to_string(n)));
        CHECK(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
        std::this_thread::sleep_for(milliseconds(100));
    }
}

// Load pattern: an engine has more prompt tokens queued than it can process in
// time. A further request is refused immediately with `Retry-After` and does
// not reach the engine.
TEST_CASE("a request that would wait too long is refused at once")
{
    scripted_endpoint endpoint([](http_request const&, scripted_connection&)
                               { return true; });
    test_gateway gate;
    gate.apply(1, std::chrono::seconds(5), engine_properties{64, 200000, 1});
    gate.set_endpoints({endpoint.port()});
    std::string const prompt = "X-Model: m\r\nX-Tokens: 30000,10\r\n"
                               "X-Parts: a1:30000\r\n";
    test_caller first(gate.port());
    first.send(get_request("/stream/", "id1", prompt));
    for (int n = 0; n < 200 && endpoint.requests() == 0; ++n)
        std::this_thread::sleep_for(milliseconds(10));
    REQUIRE(endpoint.requests() == 1);
    test_caller second(gate.port());
    second.send(get_request("/stream/", "id2", prompt));
    auto const text = second.read_until("overloaded");
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(contains(text, "Retry-After: 0.3"));
    CHECK(endpoint.requests() == 1);
}

// With this target latency a request that waits for an endpoint does so until
// its own time ends.
constexpr std::chrono::seconds long_target{80};

// Load pattern: the service has no endpoint until a replacement is listed.
// Guards against a request that is held until its time ends.
TEST_CASE("a request is rejected at once while its service has no endpoint")
{
    test_gateway gate;
    gate.apply(1, std::chrono::seconds(5), {}, long_target);
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    auto const text = caller.read_until("\r\n\r\n");
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(contains(caller.read_until("no_endpoint"), "no_endpoint"));
    CHECK(contains(text, "Retry-After: 0."));
}

// Load pattern: the only endpoint is full. Guards against a request that waits
// for an endpoint that it has already been refused by.
TEST_CASE("a request is rejected at once when its only endpoint refused it")
{
    scripted_endpoint refusing(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 503, "", "X-Not-Run: 1\r\n");
            return true;
        });
    test_gateway gate;
    gate.apply(1, std::chrono::seconds(5), {}, long_target);
    gate.set_endpoints({refusing.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(contains(caller.read_until("endpoints_tried"), "endpoints_tried"));
}

// Guards against a delay that a caller with little time does not accept, so
// that it never comes back.
TEST_CASE("a caller with little time gets a short Retry-After")
{
    test_gateway gate;
    gate.apply();
    test_caller caller(gate.port());
    caller.send("GET /once/ HTTP/1.1\r\nHost: h\r\nX-Id: id1\r\n"
                "X-Time: 300\r\nX-Key: key1\r\n\r\n");
    auto const text = caller.read_until("\r\n\r\n");
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(contains(text, "Retry-After: 0.0"));
}

// Load pattern: the router has as many connections to the preferred endpoint as
// it may open. Guards against a request that waits although another endpoint
// has a free connection.
TEST_CASE("a request that finds no free connection goes to another endpoint")
{
    scripted_endpoint silent([](http_request const&, scripted_connection&)
                             { return true; });
    test_gateway gate;
    // A request that waits looks for an endpoint again after its time has
    // ended.
    gate.apply(1, std::chrono::seconds(60), {}, 2 * long_target, 1);
    gate.set_endpoints({silent.port()});
    test_caller first(gate.port());
    first.send("GET /once/ HTTP/1.1\r\nHost: h\r\nX-Id: id1\r\n"
               "X-Time: 60000\r\nX-Key: key1\r\n\r\n");
    while (silent.requests() == 0)
        std::this_thread::sleep_for(milliseconds(5));
    scripted_endpoint serving(answer_ok);
    // The endpoint in another zone costs more than one with one request.
    gate.set_endpoints({silent.port(), serving.port()}, {"", "far"});
    for (int n = 0; n < 8; ++n)
    {
        test_caller caller(gate.port());
        caller.send(get_request("/once/", "next" + std::to_string(n)));
        CHECK(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
    }
    CHECK(silent.requests() == 1);
}

// Guards against a request that is rejected for good by the limit on
// connections, although one becomes free while it waits.
TEST_CASE("a request gets a connection that becomes free while it waits")
{
    std::atomic<bool> released = false;
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            while (!released)
                conn.wait(milliseconds(5));
            conn.answer(request, 200, "ok");
            return true;
        });
    test_gateway gate;
    gate.apply(1, std::chrono::seconds(5), {}, long_target, 1);
    gate.set_endpoints({endpoint.port()});
    test_caller first(gate.port());
    first.send(get_request("/once/", "id1"));
    while (endpoint.requests() == 0)
        std::this_thread::sleep_for(milliseconds(5));
    test_caller second(gate.port());
    second.send(get_request("/once/", "id2"));
    std::this_thread::sleep_for(milliseconds(50));
    released = true;
    CHECK(second.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
}

// Guards against a response in progress that is discarded for a retry that no
// other endpoint can take.
TEST_CASE("a slow response is awaited if there is no other endpoint")
{
    scripted_endpoint slow(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.wait(milliseconds(900));
            conn.answer(request, 200, "ok");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({slow.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/safe/", "id1"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 200"));
    CHECK(slow.requests() == 1);
}

// Guards against an endpoint's own response that is replaced by an error of the
// gateway because a retry is not possible.
TEST_CASE("an error of the only endpoint is returned unchanged")
{
    scripted_endpoint failing(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 500, "its error");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({failing.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/safe/", "id1"));
    auto const text = caller.read_until("its error");
    CHECK(text.starts_with("HTTP/1.1 500"));
    CHECK(contains(text, "X-Signature: sig\r\n"));
    CHECK(contains(text, "its error"));
}

} // namespace endiveward::gateway
