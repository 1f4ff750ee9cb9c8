#include "gateway/i_exchange.hpp"
#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/silent_writer.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace endiveward::gateway
{

namespace
{

constexpr engine_properties engine{64, 100000, 1};

/// A gateway before an engine, and the cache salts that it sends.
struct salted_requests
{
    salted_requests() { configure(1, false); }

    void configure(kernel::config_version version, bool isolated)
    {
        gate.set_isolated(isolated);
        gate.apply(version, std::chrono::seconds(5), engine);
        gate.set_endpoints({endpoint.port()});
    }

    std::string salt_of(std::string const& key)
    {
        test_caller caller(gate.port());
        caller.send("GET /stream/ HTTP/1.1\r\nHost: h\r\nX-Id: id" +
                    std::to_string(++requests) +
                    "\r\nX-Time: 3000\r\nX-Key: " + key +
                    "\r\nX-Model: m\r\nX-Tokens: 600,4\r\nX-Parts: "
                    "a:512,b:88\r\nConnection: close\r\n\r\n");
        REQUIRE(caller.read_all().find("id: 1") != std::string::npos);
        return std::string(
            endpoint.seen().back().headers.value_or("X-Salt", ""));
    }

    scripted_endpoint endpoint{
        [](http_request const& request, scripted_connection& conn)
        {
            conn.begin_stream(request);
            conn.event(1);
            conn.end_stream();
            return true;
        }};
    test_gateway gate;
    int requests = 0;
};

std::string prompt_request(std::string const& path, std::string const& id,
                           std::string const& key)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id +
           "\r\nX-Time: 20000\r\nX-Key: " + key +
           "\r\nX-Model: m\r\nX-Tokens: 600,4\r\nX-Parts: "
           "a:512,b:88\r\nConnection: close\r\n\r\n";
}

/// Two endpoints. A stream that begins at one of them breaks off after its
/// first event once `broken` is set, and goes on at the other one.
struct broken_streams
{
    broken_streams() { configure(1); }

    void configure(kernel::config_version version)
    {
        gate.apply(version, std::chrono::seconds(20), engine);
        gate.set_endpoints({one.port(), other.port()});
    }

    bool serve(http_request const& request, scripted_connection& conn)
    {
        conn.begin_stream(request);
        if (!request.headers.value_or("X-Last-Event", "").empty())
        {
            conn.event(2);
            conn.end_stream();
            return true;
        }
        conn.event(1);
        while (!broken)
            conn.wait(std::chrono::milliseconds(5));
        conn.reset();
        return false;
    }

    /// The salts of the run that began the stream and of the one that went on.
    std::vector<std::string> salts() const
    {
        std::string begun;
        std::string resumed;
        for (auto const* endpoint : {&one, &other})
        {
            for (auto const& it : endpoint->seen())
                (it.headers.value_or("X-Last-Event", "").empty() ? begun
                                                                 : resumed) =
                    it.headers.value_or("X-Salt", "");
        }
        return {begun, resumed};
    }

    std::atomic<bool> broken{false};
    scripted_endpoint one{
        [this](http_request const& request, scripted_connection& conn)
        { return serve(request, conn); }};
    scripted_endpoint other{
        [this](http_request const& request, scripted_connection& conn)
        { return serve(request, conn); }};
    test_gateway gate;
};

} // namespace

// Guards against requests that go on from KV cache which a workspace made
// before the operator isolated it.
TEST_CASE("an isolated workspace shares no KV cache that it made before")
{
    salted_requests it;
    auto const before = it.salt_of("key1");
    REQUIRE(before == it.salt_of("key3"));
    it.configure(2, true);
    auto const isolated = it.salt_of("key1");
    auto const others = it.salt_of("key3");
    CHECK(others != before);
    CHECK(isolated != before);
    CHECK(isolated != others);
    CHECK(isolated != it.salt_of("key2"));
}

// Guards against prompts that are read again although no workspace has become
// isolated.
TEST_CASE("other changes of the configuration leave the KV cache in use")
{
    salted_requests it;
    auto const before = it.salt_of("key1");
    it.gate.set_limit({1e9, 1e9, false, 0});
    it.configure(2, false);
    CHECK(it.salt_of("key1") == before);
    CHECK(it.salt_of("key3") == before);
}

// Guards against streams that are sent on after a change of the configuration
// with the KV cache of the workspaces that shared it before.
TEST_CASE("a stream goes on in the cache group that its workspace has now")
{
    broken_streams it;
    // `w1` becomes isolated, `w3` is one of the others.
    std::string const key = GENERATE("key1", "key3");
    test_caller caller(it.gate.port());
    caller.send(prompt_request("/resume/", "id1", key));
    REQUIRE(caller.read_until("id: 1\n").find("id: 1\n") != std::string::npos);
    it.gate.set_isolated(true);
    it.configure(2);
    it.broken = true;
    REQUIRE(caller.read_all().find("id: 2\n") != std::string::npos);
    auto const salts = it.salts();
    // A new stream of the workspace.
    test_caller next(it.gate.port());
    next.send(prompt_request("/resume/", "id2", key));
    REQUIRE(next.read_all().find("id: 2\n") != std::string::npos);
    CHECK(salts[1] != salts[0]);
    CHECK(salts[1] == it.salts()[0]);
}

// Guards against KV cache that a workspace would share with the others again
// because the configuration, of which it is no part any more, does not call it
// isolated.
TEST_CASE("a stream of a removed workspace goes on in a cache group of its own")
{
    broken_streams it;
    test_caller caller(it.gate.port());
    caller.send(prompt_request("/resume/", "id1", "key1"));
    REQUIRE(caller.read_until("id: 1\n").find("id: 1\n") != std::string::npos);
    it.gate.remove_workspaces();
    it.configure(2);
    it.broken = true;
    REQUIRE(caller.read_all().find("id: 2\n") != std::string::npos);
    auto const salts = it.salts();
    CHECK(salts[1] != salts[0]);
    CHECK(salts[1].starts_with("w1/"));
}

// Guards against a request that names the former group because its workspace
// was isolated while the connection to the endpoint was established.
TEST_CASE("a request that waits for its connection has its present cache group")
{
    salted_requests it;
    silent_writer writer;
    std::shared_ptr<i_exchange> running;
    it.gate.set_isolated(true);
    auto const table = it.gate.make_table(2, std::chrono::seconds(20), engine);
    it.gate.run(
        [&]
        {
            http_request request;
            request.method = "GET";
            request.target = "/stream/";
            request.headers.add("Host", "h");
            request.headers.add("X-Id", "waiting");
            request.headers.add("X-Time", "20000");
            request.headers.add("X-Key", "key1");
            request.headers.add("X-Model", "m");
            request.headers.add("X-Tokens", "600,4");
            request.headers.add("X-Parts", "a:512,b:88");
            running = it.gate.get().handle(std::move(request), writer);
            it.gate.get().apply(table);
        });
    writer.ended.get_future().wait_for(std::chrono::seconds(20));
    CHECK(writer.status == 200);
    REQUIRE(it.endpoint.requests() == 1);
    CHECK(it.endpoint.seen()[0].headers.value_or("X-Salt", "") ==
          it.salt_of("key1"));
    it.gate.run([&] { running = nullptr; });
}

} // namespace endiveward::gateway
