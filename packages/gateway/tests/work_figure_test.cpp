#include "gateway/endpoint_key.hpp"
#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <string>
#include <utility>

namespace endiveward::gateway
{

namespace
{

constexpr std::chrono::seconds limit{20};

/// Answers a plain call, or a stream whose head comes before its first event.
bool answer_with_figure(http_request const& request, scripted_connection& conn)
{
    std::string const load = "X-Load: 1,0,8,100\r\n";
    if (!request.target.starts_with("/stream/"))
    {
        conn.answer(request, 200, "ok", load);
        return true;
    }
    conn.send("HTTP/1.1 200 OK\r\nX-Id: " +
              std::string(request.headers.value_or("X-Id", "")) +
              "\r\nX-Signature: sig\r\n" + load +
              "Content-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
    conn.event(1);
    conn.end_stream();
    return true;
}

} // namespace

// Guards against answers whose figure or time does not reach the estimate, and
// against estimates that are not shared.
TEST_CASE("a router shares the speed of an endpoint that names a figure")
{
    std::string const path = GENERATE("/safe/1", "/stream/1");
    scripted_endpoint endpoint(answer_with_figure);
    std::promise<wire::fact_report> reported;
    bool first = true;
    test_gateway gate;
    gate.run(
        [&]
        {
            gate.get().set_fact_report_handler(
                [&](wire::fact_report it)
                {
                    if (std::exchange(first, false))
                        reported.set_value(std::move(it));
                });
        });
    if (path == "/safe/1")
        gate.apply();
    else
        gate.apply(1, std::chrono::seconds(5),
                   engine_properties{64, 200000, 18432});
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(
        get_request(path, "id1", "X-Model: m\r\nX-Tokens: 9000,100\r\n"));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 200"));
    auto future = reported.get_future();
    REQUIRE(future.wait_for(limit) == std::future_status::ready);
    auto const facts = future.get().facts;
    REQUIRE(facts.size() == 1);
    CHECK(facts[0].kind == wire::fact_kind::endpoint_speed);
    CHECK(facts[0].key ==
          endpoint_key(test_gateway::entry(0, endpoint.port())));
    CHECK(facts[0].value > 0);
}

} // namespace endiveward::gateway
