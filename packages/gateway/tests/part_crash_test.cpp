#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace endiveward::gateway
{

namespace
{

std::string prompt(std::string const& parts)
{
    return "X-Model: m\r\nX-Tokens: 30,4\r\nX-Parts: " + parts + "\r\n";
}

/// Ends a request with the part `bad` like an engine that crashes when it
/// begins to write the answer.
bool crash_or_answer(http_request const& request, scripted_connection& conn)
{
    auto const bad = request.headers.value_or("X-Parts", "").find("bad") !=
                     std::string_view::npos;
    conn.begin_stream(request);
    if (bad)
    {
        conn.reset();
        return false;
    }
    conn.event(1);
    conn.end_stream();
    return true;
}

std::string ask(test_gateway& gate, std::string const& id,
                std::string const& parts, std::string const& path = "/stream/")
{
    test_caller caller(gate.port());
    caller.send(get_request(path, id, prompt(parts)));
    return caller.read_until("\r\n\r\n");
}

} // namespace

// Guards against requests with one part that crash one endpoint after the
// other.
TEST_CASE("a request is not sent if its part has crashed two endpoints")
{
    scripted_endpoint first(crash_or_answer);
    scripted_endpoint second(crash_or_answer);
    scripted_endpoint third(crash_or_answer);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({first.port(), second.port(), third.port()});
    auto const requests = [&]
    { return first.requests() + second.requests() + third.requests(); };
    CHECK(ask(gate, "id1", "sys:10,bad:10,u1:10").starts_with("HTTP/1.1 502"));
    CHECK(ask(gate, "id2", "sys:10,bad:10,u2:10").starts_with("HTTP/1.1 502"));
    REQUIRE(requests() == 2);
    auto const refused = ask(gate, "id3", "sys:10,bad:10,u3:10");
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("Retry-After: ") != std::string::npos);
    CHECK(requests() == 2);
    // A sound request of the same caller.
    CHECK(ask(gate, "id4", "sys:10,good:10,u4:10").starts_with("HTTP/1.1 200"));
}

// Guards against a retry that crashes a third endpoint.
TEST_CASE("a request that crashed two endpoints is not retried")
{
    scripted_endpoint first(crash_or_answer);
    scripted_endpoint second(crash_or_answer);
    scripted_endpoint third(crash_or_answer);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({first.port(), second.port(), third.port()});
    CHECK(ask(gate, "id1", "bad:10,u1:10", "/resume/")
              .starts_with("HTTP/1.1 502"));
    CHECK(first.requests() + second.requests() + third.requests() == 2);
    CHECK(ask(gate, "id2", "bad:10,u2:10", "/resume/")
              .starts_with("HTTP/1.1 503"));
    CHECK(first.requests() + second.requests() + third.requests() == 2);
}

} // namespace endiveward::gateway
