#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace endiveward::gateway
{

namespace
{

constexpr char const* prompt = "X-Model: m\r\nX-Tokens: 30,4\r\n";

std::string refusal_of(std::string const& id_field)
{
    return "HTTP/1.1 503 X\r\n" + id_field +
           "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against an earlier refusal that an endpoint writes once more and that
// is taken for the answer to the next request on the connection: that request
// would run twice, or its caller would be told that it has not run.
TEST_CASE("an earlier refusal that is written again does not refuse the next "
          "request")
{
    std::string refused_id;
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            auto const id = std::string(request.headers.value_or("X-Id", ""));
            if (refused_id.empty())
            {
                refused_id = id;
                conn.send(refusal_of("X-Id: " + id + "\r\n"));
                return true;
            }
            conn.send(refusal_of("X-Id: " + refused_id + "\r\n"));
            conn.answer(request, 200, "ok");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
    // The endpoint is avoided for a moment after a refusal.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    caller.clear();
    caller.send(get_request("/once/", "id2"));
    CHECK(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
}

// As above, if the refusal that is written again names no request.
TEST_CASE("a refusal that names no request does not say that a request has not "
          "run")
{
    auto const* const status = GENERATE("503", "429", "421", "408");
    std::atomic<int> runs{0};
    auto const run = [&](http_request const&, scripted_connection& conn)
    {
        ++runs;
        conn.send(std::string("HTTP/1.1 ") + status +
                  " X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
    };
    scripted_endpoint first(run);
    scripted_endpoint second(run);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({first.port(), second.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(runs == 1);
}

// Guards against the same if the next request on the connection is the refused
// one itself, which goes to an endpoint with newer weights once more.
TEST_CASE("a request that is sent again to an endpoint that refused it is not "
          "refused by the earlier answer")
{
    std::mutex mutex;
    std::map<std::thread::id, std::string> refused;
    std::atomic<int> runs{0};
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            auto const id = std::string(request.headers.value_or("X-Id", ""));
            auto const refusal = "HTTP/1.1 421 X\r\nX-Id: " + id +
                                 "\r\nX-Not-Run: 1\r\nX-Endpoint: e0\r\n"
                                 "X-Version: 2\r\nContent-Length: 0\r\n\r\n";
            std::lock_guard const lock(mutex);
            // Each connection has a thread of its own.
            auto const found = refused.find(std::this_thread::get_id());
            if (refused.empty())
            {
                refused[std::this_thread::get_id()] = refusal;
                conn.send(refusal);
                return true;
            }
            ++runs;
            if (found != refused.end())
                conn.send(found->second);
            conn.begin_stream(request);
            conn.event(1);
            conn.end_stream();
            return true;
        });
    test_gateway gate;
    gate.apply();
    auto first = test_gateway::entry(0, endpoint.port());
    first.models[kernel::model_id("m")] = 1;
    gate.set_entries({first});
    test_caller caller(gate.port());
    caller.send(get_request("/stream/", "id1", prompt));
    CHECK(caller.read_until("0\r\n\r\n").starts_with("HTTP/1.1 200"));
    CHECK(runs == 1);
}

} // namespace endiveward::gateway
