#include "gateway/http/i_upstream_observer.hpp"
#include "gateway/http/upstream_connection.hpp"
#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"
#include "gateway/upstream_pool.hpp"
#include "kernel/system_clock.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

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
    CHECK(seen[0].headers.find("X-Key") == std::nullopt);
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

// Guards against a service that is open to all once the operator has taken the
// last key away.
TEST_CASE("without workspaces no key is valid where keys are needed")
{
    scripted_endpoint endpoint(answer_ok);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    REQUIRE(caller.read_until("ok").starts_with("HTTP/1.1 200"));
    gate.remove_workspaces();
    gate.apply(2);
    for (auto const* const key :
         {"X-Key: key1\r\n", "X-Key: nokey\r\n", "X-Key: \r\n", ""})
    {
        CAPTURE(key);
        caller.clear();
        caller.send(std::string("GET /once/ HTTP/1.1\r\nHost: h\r\nX-Id: id2"
                                "\r\nX-Time: 3000\r\n") +
                    key + "\r\n");
        CHECK(caller.read_until("unknown_key").starts_with("HTTP/1.1 401"));
    }
    CHECK(endpoint.requests() == 1);
}

// Guards against open connections that keep the limits of the configuration
// with which they were accepted.
TEST_CASE("size limits of callers change on open connections")
{
    scripted_endpoint endpoint(answer_ok);
    test_gateway gate;
    caller_limits limits;
    auto configure = [&, version = 0](std::size_t header_bytes,
                                      std::size_t body_bytes) mutable
    {
        limits.header_bytes = header_bytes;
        limits.body_bytes = body_bytes;
        gate.set_caller_limits(limits);
        gate.apply(static_cast<kernel::config_version>(++version));
        gate.set_endpoints({endpoint.port()});
    };
    configure(1000, 1000);
    test_caller caller(gate.port());
    auto const send = [&](std::size_t header_bytes, std::size_t body_bytes)
    {
        caller.clear();
        caller.send("POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: id1\r\nX-Key: "
                    "key1\r\nX-Time: 3000\r\nX-Fill: " +
                    std::string(header_bytes, 'f') +
                    "\r\nContent-Length: " + std::to_string(body_bytes) +
                    "\r\n\r\n" + std::string(body_bytes, 'b'));
        return caller.read_until("\r\n\r\n").substr(0, 12);
    };
    REQUIRE(send(10, 900) == "HTTP/1.1 200");
    configure(4000, 4000);
    CHECK(send(10, 3000) == "HTTP/1.1 200");
    CHECK(send(3000, 10) == "HTTP/1.1 200");
    configure(1000, 1000);
    SECTION("of the body")
    CHECK(send(10, 3000) == "HTTP/1.1 413");
    SECTION("of the head")
    CHECK(send(3000, 10) == "HTTP/1.1 431");
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

// Load pattern: an endpoint ends while the only other one pauses for a moment.
// Guards against cutting a stream that could go on within a tolerable pause.
TEST_CASE("a broken stream waits for an endpoint that pauses for a short time")
{
    std::promise<void> paused;
    auto const may_break = paused.get_future().share();
    scripted_endpoint breaking(
        [&](http_request const& request, scripted_connection& conn)
        {
            if (request.target.starts_with("/safe/"))
                return answer_ok(request, conn);
            conn.begin_stream(request);
            conn.event(1);
            may_break.wait_for(std::chrono::seconds(20));
            conn.reset();
            return false;
        });
    scripted_endpoint pausing(
        [&](http_request const& request, scripted_connection& conn)
        {
            if (request.target.starts_with("/safe/"))
            {
                conn.answer(request, 503, "",
                            "X-Not-Run: 1\r\nRetry-After: 0.1\r\n");
                return true;
            }
            conn.begin_stream(request);
            conn.event(2);
            conn.end_stream();
            return true;
        });
    test_gateway gate;
    gate.apply(1, std::chrono::seconds(5), {}, std::chrono::seconds(2));
    gate.set_endpoints({breaking.port(), pausing.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", "id1"));
    REQUIRE(contains(caller.read_until("id: 1\n"), "id: 1\n"));
    test_caller other(gate.port());
    other.send(get_request("/safe/", "id2"));
    other.read_until("\r\n\r\nok");
    REQUIRE(pausing.requests() == 1);
    paused.set_value();
    CHECK(contains(caller.read_until("0\r\n\r\n"), "id: 2\n"));
    CHECK(pausing.requests() == 2);
}

// Guards against a stalled stream that never ends because its endpoint sends a
// byte now and then.
TEST_CASE("a stream that gets bytes but no events goes on elsewhere")
{
    scripted_endpoint stalled(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.begin_stream(request);
            conn.event(1);
            for (int n = 0; n < 60; ++n)
            {
                conn.wait(milliseconds(50));
                conn.chunk(":");
            }
            return false;
        });
    scripted_endpoint sound(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.begin_stream(request);
            conn.event(2);
            conn.end_stream();
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({stalled.port(), sound.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", "id1"));
    auto const text = caller.read_until("0\r\n\r\n");
    CHECK(contains(text, "id: 2\n"));
    CHECK(text.ends_with("0\r\n\r\n"));
    CHECK(sound.requests() == 1);
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
    gate.announce_stop(std::chrono::seconds(5));
    gate.stop_listening();
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

// Guards against requests to an endpoint that is about to exit, which the store
// still calls ready, and against answers that are lost with it.
TEST_CASE("an endpoint that announces its exit completes its requests and gets "
          "no further ones")
{
    scripted_endpoint leaving(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.wait(milliseconds(100));
            conn.answer(request, 200, "ok", "X-Leaving: 1\r\n");
            return true;
        });
    scripted_endpoint serving(answer_ok);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({leaving.port()});
    std::vector<std::unique_ptr<test_caller>> callers;
    for (int n = 0; n < 8; ++n)
    {
        callers.push_back(std::make_unique<test_caller>(gate.port()));
        callers.back()->send(get_request("/once/", "id" + std::to_string(n)));
    }
    for (auto const& it : callers)
    {
        auto const text = it->read_until("\r\n\r\nok");
        CHECK(text.starts_with("HTTP/1.1 200"));
        CHECK_FALSE(contains(text, "X-Leaving"));
    }
    CHECK(leaving.requests() == 8);
    gate.set_endpoints({leaving.port(), serving.port()});
    for (int n = 0; n < 20; ++n)
    {
        auto const* const path = n % 2 == 0 ? "/once/" : "/safe/";
        test_caller caller(gate.port());
        caller.send(get_request(path, "next" + std::to_string(n)));
        CHECK(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
    }
    CHECK(leaving.requests() == 8);
    // The entry is removed and returns.
    gate.set_endpoints({});
    gate.set_endpoints({leaving.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "last"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(leaving.requests() == 8);
}

// Guards against kinds of answers in which the announcement is overlooked.
TEST_CASE("an endpoint announces its exit in any answer")
{
    std::string const head =
        GENERATE("200 OK\r\nX-Signature: s\r\n", "200 OK\r\n", "404 X\r\n",
                 "421 X\r\nX-Not-Run: 1\r\nX-Endpoint: e0\r\n",
                 "503 X\r\nX-Not-Run: 1\r\n", "503 X\r\n", "500 X\r\n",
                 "429 X\r\nX-Not-Run: 1\r\n");
    CAPTURE(head);
    auto const* const path = GENERATE("/once/", "/safe/", "/stream/");
    scripted_endpoint leaving(
        [&head](http_request const& request, scripted_connection& conn)
        {
            conn.send("HTTP/1.1 " + head + "X-Leaving: 1\r\nX-Id: " +
                      std::string(request.headers.value_or("X-Id", "")) +
                      "\r\nContent-Length: 0\r\n\r\n");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({leaving.port()});
    for (int n = 0; n < 2; ++n)
    {
        test_caller caller(gate.port());
        caller.send(get_request(path, "id" + std::to_string(n)));
        CHECK_FALSE(contains(caller.read_until("\r\n\r\n"), "X-Leaving"));
    }
    CHECK(leaving.requests() == 1);
}

// Load pattern: six callers send one request after the other when one of two
// endpoints begins to announce its exit. What they send after one of them has
// received the first such answer must not reach it.
TEST_CASE("an endpoint that announces its exit under load gets no further "
          "request")
{
    std::atomic<int> taken{0};
    scripted_endpoint leaving(
        [&](http_request const& request, scripted_connection& conn)
        {
            auto const announces = ++taken > 10;
            conn.answer(request, 200, announces ? "bye!!" : "ok!!",
                        announces ? "X-Leaving: 1\r\n" : "");
            return true;
        });
    scripted_endpoint serving(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 200, "ok!!");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({leaving.port(), serving.port()});
    constexpr int callers = 6;
    constexpr int requests = 60;
    std::atomic<bool> announced{false};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int k = 0; k < callers; ++k)
        threads.emplace_back(
            [&, k]
            {
                test_caller caller(gate.port());
                for (int n = 0; n < requests; ++n)
                {
                    auto const id =
                        std::string(announced ? "after" : "before") +
                        std::to_string(k) + "-" + std::to_string(n);
                    auto const* const path = n % 2 == 0 ? "/once/" : "/safe/";
                    caller.clear();
                    caller.send(get_request(path, id));
                    auto const text = caller.read_until("!!");
                    if (text.starts_with("HTTP/1.1 200"))
                        ++served;
                    if (contains(text, "bye!!"))
                        announced = true;
                }
            });
    for (auto& it : threads)
        it.join();
    CHECK(served == callers * requests);
    CHECK(announced);
    int late = 0;
    for (auto const& it : leaving.seen())
        late +=
            std::string(it.headers.value_or("X-Id", "")).starts_with("after");
    CHECK(late == 0);
}

TEST_CASE("another value of the field does not say that an endpoint leaves")
{
    auto const* const value = GENERATE("0", "2", "true", "");
    scripted_endpoint endpoint(
        [value](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 200, "ok",
                        std::string("X-Leaving: ") + value + "\r\n");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    for (int n = 0; n < 2; ++n)
    {
        test_caller caller(gate.port());
        caller.send(get_request("/once/", "id" + std::to_string(n)));
        CHECK(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
    }
}

// Guards against a report that takes back what the endpoint has told this
// gateway itself: agents learn of a restart under another id only later.
TEST_CASE("a report announces an exit but does not take back an answer")
{
    scripted_endpoint endpoint(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 200, "ok", "X-Leaving: 1\r\n");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    auto const report = [&](bool leaving)
    {
        wire::engine_state state;
        state.leaving = leaving;
        gate.run(
            [&]
            { gate.get().on_engine_state(kernel::endpoint_id("e0"), state); });
    };
    auto const request = [&](std::string const& id)
    {
        test_caller caller(gate.port());
        caller.send(get_request("/once/", id));
        return caller.read_until("\r\n\r\n").substr(0, 12);
    };
    report(true);
    CHECK(request("id1") == "HTTP/1.1 503");
    CHECK(endpoint.requests() == 0);
    report(false);
    CHECK(request("id2") == "HTTP/1.1 200");
    report(true);
    report(false);
    CHECK(request("id3") == "HTTP/1.1 503");
    CHECK(endpoint.requests() == 1);
}

// Guards against an endpoint that is taken out of use because another one has
// its former address.
TEST_CASE("an exit is attributed to the endpoint that has answered")
{
    scripted_endpoint other(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 421, "",
                        "X-Not-Run: 1\r\nX-Endpoint: e1\r\nX-Leaving: "
                        "1\r\n");
            return true;
        });
    scripted_endpoint named(answer_ok);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({other.port()});
    gate.set_endpoints({other.port(), named.port()});
    for (int n = 0; n < 20 && other.requests() == 0; ++n)
    {
        test_caller caller(gate.port());
        caller.send(get_request("/once/", "id" + std::to_string(n)));
        caller.read_until("\r\n\r\n");
    }
    REQUIRE(other.requests() == 1);
    auto const before = named.requests();
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "next"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(named.requests() == before);
}

// Guards against retries and resumed streams at an endpoint that has asked for
// no requests.
TEST_CASE(
    "a retry and a resumed stream do not go to an endpoint that leaves or "
    "pauses")
{
    auto const* const path = GENERATE("/safe/", "/resume/");
    auto const leaves = GENERATE(true, false);
    scripted_endpoint refusing(
        [leaves](http_request const& request, scripted_connection& conn)
        {
            if (leaves)
                conn.answer(request, 200, "ok", "X-Leaving: 1\r\n");
            else
                conn.answer(request, 503, "",
                            "X-Not-Run: 1\r\nRetry-After: 20\r\n");
            return true;
        });
    scripted_endpoint failing(
        [](http_request const& request, scripted_connection& conn)
        {
            if (request.target.starts_with("/resume/"))
            {
                conn.begin_stream(request);
                conn.event(1);
                conn.wait(milliseconds(50));
            }
            conn.reset();
            return false;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({refusing.port()});
    test_caller first(gate.port());
    first.send(get_request("/once/", "id0"));
    first.read_until("\r\n\r\n");
    gate.set_endpoints({refusing.port(), failing.port()});
    test_caller caller(gate.port());
    caller.send(get_request(path, "id1"));
    if (std::string(path) == "/safe/")
        CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
    else
        CHECK_FALSE(contains(caller.read_all(), "\r\n0\r\n"));
    CHECK(failing.requests() == 1);
    CHECK(refusing.requests() == 1);
}

// Guards against requests to an endpoint that asked for none, in a refusal or
// in a 503 that does not prove that the request has not run.
TEST_CASE("an endpoint gets no request for the time of its Retry-After")
{
    using clock = std::chrono::steady_clock;
    auto const* const proof = GENERATE("X-Not-Run: 1\r\n", "");
    std::mutex mutex;
    std::vector<clock::time_point> arrivals;
    scripted_endpoint pausing(
        [&](http_request const& request, scripted_connection& conn)
        {
            std::size_t n = 0;
            {
                std::lock_guard const lock(mutex);
                arrivals.push_back(clock::now());
                n = arrivals.size();
            }
            if (n == 1)
                conn.answer(request, 503, "",
                            std::string(proof) + "Retry-After: 0.8\r\n");
            else
                conn.answer(request, 200, "ok");
            return true;
        });
    scripted_endpoint serving(answer_ok);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({pausing.port()});
    test_caller first(gate.port());
    first.send(get_request("/once/", "id0"));
    // The gateway's own value has three decimals.
    CHECK_FALSE(contains(first.read_until("\r\n\r\n"), "Retry-After: 0.8\r\n"));
    gate.set_endpoints({pausing.port(), serving.port()});
    for (int n = 0; n < 30; ++n)
    {
        auto const* const path = n % 2 == 0 ? "/once/" : "/safe/";
        test_caller caller(gate.port());
        caller.send(get_request(path, "next" + std::to_string(n)));
        CHECK(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
    }
    gate.set_endpoints({pausing.port()});
    bool served = false;
    auto const end = clock::now() + std::chrono::seconds(20);
    for (int n = 0; !served && clock::now() < end; ++n)
    {
        test_caller caller(gate.port());
        caller.send(get_request("/once/", "last" + std::to_string(n)));
        auto const text = caller.read_until("\r\n\r\n");
        served = text.starts_with("HTTP/1.1 200");
        if (!served)
            CHECK(text.starts_with("HTTP/1.1 503"));
    }
    CHECK(served);
    std::lock_guard const lock(mutex);
    REQUIRE(arrivals.size() >= 2);
    CHECK(arrivals[1] - arrivals[0] >= milliseconds(800));
}

// Guards against a long pause for an endpoint that asked for none.
TEST_CASE("a refusal without a readable Retry-After pauses shortly")
{
    std::string const field =
        GENERATE("", "Retry-After: 0\r\n", "Retry-After: soon\r\n",
                 "Retry-After: -5\r\n");
    std::atomic<int> refusals{0};
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            if (refusals++ == 0)
                conn.answer(request, 503, "", "X-Not-Run: 1\r\n" + field);
            else
                conn.answer(request, 200, "ok");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller first(gate.port());
    first.send(get_request("/once/", "id1"));
    CHECK(first.read_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
    std::this_thread::sleep_for(milliseconds(160));
    test_caller second(gate.port());
    second.send(get_request("/once/", "id2"));
    CHECK(second.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
}

// Guards against requests that were queued for a connection before the endpoint
// asked for none.
TEST_CASE("a request that waits for its connection is not sent to an endpoint "
          "that refuses requests")
{
    struct observer : i_upstream_observer
    {
        bool may_send() const override { return wanted; }
        void on_head(response_head const&) override {}
        void on_body(std::string_view) override {}
        void on_end() override { ended = true; }
        void on_failure(upstream_failure it) override { failure = it; }

        bool wanted = true;
        bool ended = false;
        std::optional<upstream_failure> failure;
    };
    scripted_endpoint endpoint(answer_ok);
    asio::io_context context;
    kernel::system_clock clock;
    upstream_pool pool(context, clock,
                       std::make_shared<upstream_options const>(),
                       {asio::ip::make_address("127.0.0.1"), endpoint.port()});
    observer it;
    it.wanted = GENERATE(true, false);
    auto const conn = pool.acquire(std::chrono::seconds(1));
    conn->send(pool.peer(),
               {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", nullptr, {}, false}, it);
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!it.ended && !it.failure && std::chrono::steady_clock::now() < end)
        context.run_one_for(milliseconds(100));
    CHECK(it.ended == it.wanted);
    if (!it.wanted)
        CHECK(it.failure == upstream_failure::withdrawn);
    CHECK(endpoint.requests() == (it.wanted ? 1 : 0));
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
