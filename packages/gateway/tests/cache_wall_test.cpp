#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <string>

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

} // namespace endiveward::gateway
