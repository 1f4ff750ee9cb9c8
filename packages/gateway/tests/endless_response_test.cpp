#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <string>

namespace endiveward::gateway
{

namespace
{

/// More than the buffers of two sockets hold.
constexpr std::size_t enough_bytes = 64U << 20U;
constexpr std::size_t max_taken_bytes = 24U << 20U;

std::string head(http_request const& request, std::string const& status,
                 std::string const& extra)
{
    return "HTTP/1.1 " + status +
           "\r\nX-Id: " + std::string(request.headers.value_or("X-Id", "")) +
           "\r\nX-Signature: sig\r\n" + extra + "\r\n";
}

/// Sends a head and then bytes until the gateway closes the connection or has
/// taken enough.
struct endless_sender
{
    bool operator()(http_request const& request, scripted_connection& conn)
    {
        conn.send(status_line.empty()
                      ? start
                      : head(request, status_line, extra) + start);
        taken =
            conn.send_until_closed(std::string(64U << 10U, 'x'), enough_bytes);
        return false;
    }

    std::string status_line;
    std::string extra;
    std::string start;
    std::atomic<std::size_t> taken{0};
};

} // namespace

// Guards against memory that is filled by a response without end.
TEST_CASE("an event that never ends is given up")
{
    endless_sender sender;
    sender.status_line = "200 OK";
    sender.start = "id: 1\ndata: ";
    scripted_endpoint endpoint(std::ref(sender));
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/stream/", "id1"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(sender.taken < max_taken_bytes);
}

TEST_CASE("a refusal whose body never ends is still a refusal")
{
    endless_sender sender;
    sender.status_line = "503 Busy";
    sender.extra = "X-Not-Run: 1\r\n";
    scripted_endpoint endpoint(std::ref(sender));
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    auto const text = caller.read_until("\r\n\r\n");
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(text.find("Retry-After: ") != std::string::npos);
    CHECK(sender.taken < max_taken_bytes);
}

// Guards against a promise that the request has not run, which the endpoint did
// not give.
TEST_CASE("a long error is no promise that the request has not run")
{
    auto const* const status = GENERATE("503 X", "429 X", "408 X");
    auto const* const path = GENERATE("/once/", "/safe/");
    endless_sender sender;
    sender.status_line = status;
    scripted_endpoint endpoint(std::ref(sender));
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request(path, "id1"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(sender.taken < max_taken_bytes);
}

TEST_CASE("an error without end ends a resumed stream")
{
    std::atomic<int> attempts{0};
    endless_sender sender;
    sender.status_line = "500 Failed";
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            if (++attempts > 1)
                return sender(request, conn);
            conn.begin_stream(request);
            conn.event(1);
            conn.wait(std::chrono::milliseconds(100));
            conn.reset();
            return false;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port(), endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", "id1"));
    auto const text = caller.read_all();
    CHECK(text.find("id: 1\n") != std::string::npos);
    CHECK(text.find("\r\n0\r\n") == std::string::npos);
    CHECK(attempts == 2);
    CHECK(sender.taken < max_taken_bytes);
}

TEST_CASE("a head that never ends is no response")
{
    endless_sender sender;
    sender.start = GENERATE(
        as<std::string>(), "HTTP/1.1 200 OK\r\nX-Field: ", "HTTP/1.1 200 ", "");
    scripted_endpoint endpoint(std::ref(sender));
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(sender.taken < max_taken_bytes);
}

// Guards against an answer that ends early and is forwarded as complete.
TEST_CASE("an answer without length is complete after an orderly close only")
{
    auto const orderly = GENERATE(true, false);
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            conn.send(head(request, "200 OK", "") + "whole");
            // The reset must not overtake the bytes.
            conn.wait(std::chrono::milliseconds(100));
            if (!orderly)
                conn.reset();
            return false;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    auto const text = caller.read_until(orderly ? "whole" : "\r\n\r\n");
    CHECK(text.starts_with(orderly ? "HTTP/1.1 200" : "HTTP/1.1 502"));
}

TEST_CASE("a stream without length that ends inside an event is broken off")
{
    auto const whole = GENERATE(true, false);
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            conn.send(
                head(request, "200 OK", "Content-Type: text/event-stream\r\n") +
                "id: 1\ndata: a\n\n" +
                (whole ? "id: 2\ndata: b\n\n" : "id: 2\ndata: b\n"));
            return false;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/stream/", "id1"));
    auto const text = caller.read_until("\r\n0\r\n\r\n");
    CHECK(text.find("id: 1\n") != std::string::npos);
    CHECK((text.find("\r\n0\r\n\r\n") != std::string::npos) == whole);
    CHECK((text.find("id: 2\n") != std::string::npos) == whole);
}

// Guards against an engine that ends before its first event and whose answer is
// forwarded as an empty stream.
TEST_CASE("a stream without length and events is broken off")
{
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            conn.send(
                head(request, "200 OK", "Content-Type: text/event-stream\r\n"));
            return false;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/stream/", "id1"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
}

} // namespace endiveward::gateway
