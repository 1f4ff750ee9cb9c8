#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
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
    std::string const status = GENERATE("421", "503", "429", "408", "400");
    auto const is_late = GENERATE(false, true);
    CAPTURE(status, is_late);
    std::mutex mutex;
    std::map<std::thread::id, std::string> refused;
    std::atomic<int> runs{0};
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            auto const id = std::string(request.headers.value_or("X-Id", ""));
            auto const refusal = "HTTP/1.1 " + status + " X\r\nX-Id: " + id +
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
            if (found != refused.end() && !is_late)
                conn.send(found->second);
            conn.begin_stream(request);
            conn.event(1);
            if (found != refused.end() && is_late)
                conn.send(found->second);
            conn.end_stream();
            return true;
        });
    test_gateway gate;
    gate.apply(1, std::chrono::seconds(5), {}, std::chrono::seconds(5));
    auto first = test_gateway::entry(0, endpoint.port());
    first.models[kernel::model_id("m")] = 1;
    gate.set_entries({first});
    test_caller caller(gate.port());
    caller.send(get_request("/stream/", "id1", prompt));
    CHECK(caller.read_until("0\r\n\r\n").starts_with("HTTP/1.1 200"));
    CHECK(runs == 1);
}

// Guards against the same if a caller uses the id of a request again: the copy
// of its first answer, whatever the status, is not the answer to the second.
TEST_CASE("an answer that is written again does not answer another request "
          "with its id")
{
    auto const status = GENERATE(200, 404, 500);
    CAPTURE(status);
    std::mutex mutex;
    std::set<std::thread::id> answered;
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            std::lock_guard const lock(mutex);
            // Each connection has a thread of its own.
            auto const is_new =
                answered.insert(std::this_thread::get_id()).second;
            if (is_new && answered.size() > 1)
                conn.answer(request, 200, "second");
            else
                conn.answer(request, status, "first");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    REQUIRE(caller.read_until("first").ends_with("first"));
    caller.clear();
    caller.send(get_request("/once/", "id1"));
    auto const text = caller.read_until("second");
    CHECK(text.starts_with("HTTP/1.1 200"));
    CHECK(text.ends_with("second"));
}

// Guards against an answer of an earlier request, of any status, that names
// none and is taken for the answer to the next one on the connection.
TEST_CASE("an answer that names no request is not forwarded on a connection "
          "on which others do")
{
    auto const* const status = GENERATE("400", "404", "500", "200");
    CAPTURE(status);
    std::atomic<int> runs{0};
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            if (++runs > 1)
                conn.send(std::string("HTTP/1.1 ") + status +
                          " X\r\nX-Signature: sig\r\nContent-Length: "
                          "0\r\n\r\n");
            conn.answer(request, 200, "ok");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request("/once/", "id1"));
    REQUIRE(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
    caller.clear();
    caller.send(get_request("/once/", "id2"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(runs == 2);
}

// Guards against a new connection for each request to an endpoint that refuses
// often.
TEST_CASE("usual refusals leave the connection in use")
{
    std::string const status = GENERATE("421", "503", "429");
    CAPTURE(status);
    std::atomic<int> requests{0};
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            if (++requests % 2 == 0)
            {
                conn.answer(request, 200, "ok");
                return true;
            }
            auto const id = std::string(request.headers.value_or("X-Id", ""));
            conn.send("HTTP/1.1 " + status + " X\r\nX-Id: " + id +
                      "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        });
    test_gateway gate;
    gate.apply(1, std::chrono::seconds(5), {}, std::chrono::seconds(5));
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    int served = 0;
    for (int n = 0; n < 10; ++n)
    {
        caller.clear();
        caller.send(get_request("/once/", "id" + std::to_string(n)));
        served += caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 200");
        // The endpoint is avoided for a moment after a refusal.
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }
    CHECK(served > 0);
    CHECK(requests >= 10);
    CHECK(endpoint.connections() == 1);
}

} // namespace endiveward::gateway
