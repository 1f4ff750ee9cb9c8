#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

/// Refills too slowly to matter in a test.
constexpr double slow_rate = 0.001;
constexpr quota::limit five_requests{slow_rate, 5, false, 0};

std::string ask(test_gateway& gate, std::string const& id,
                std::string const& extra = {},
                std::string const& path = "/safe/")
{
    test_caller caller(gate.port());
    caller.send(get_request(path, id, extra));
    return caller.read_until("\r\n\r\n");
}

bool is_status(std::string const& answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status));
}

bool answer_ok(http_request const& request, scripted_connection& conn)
{
    conn.answer(request, 200, "ok");
    return true;
}

/// Sets the limit and waits until the gateway knows the use of all routers,
/// which was none, for the time before its start.
void limit_to(test_gateway& gate, quota::limit const& it)
{
    std::promise<void> stated;
    auto handler = [&stated, n = 0](wire::fact_report const&) mutable
    {
        // The facts that were received count from a later tick on.
        if (++n == 2)
            stated.set_value();
    };
    gate.run([&] { gate.get().set_fact_report_handler(handler); });
    gate.set_limit(it);
    gate.apply();
    gate.run(
        [&]
        {
            gate.get().on_fact_report({{{wire::fact_kind::workspace_use, 0, 1,
                                         0, 1, milliseconds(9900)}}});
        });
    stated.get_future().wait();
    gate.run([&] { gate.get().set_fact_report_handler({}); });
}

} // namespace

// Guards against a workspace that gets more than its limit, and against others
// that lose by it.
TEST_CASE("a workspace over its limit gets 429 and others are served")
{
    scripted_endpoint endpoint(answer_ok);
    test_gateway gate;
    limit_to(gate, five_requests);
    gate.set_endpoints({endpoint.port()});
    for (int n = 0; n < 5; ++n)
        CHECK(is_status(ask(gate, "id" + std::to_string(n)), 200));
    auto const refused = ask(gate, "id6");
    CHECK(is_status(refused, 429));
    CHECK(refused.find("Retry-After: ") != std::string::npos);
    CHECK(endpoint.requests() == 5);
    test_caller other(gate.port());
    other.send("GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: id7\r\n"
               "X-Time: 3000\r\nX-Key: key2\r\n\r\n");
    CHECK(is_status(other.read_until("\r\n\r\n"), 200));
}

// Guards against tokens that are not counted, or not as the limit says.
TEST_CASE("requests count by the tokens that they name")
{
    scripted_endpoint endpoint(answer_ok);
    test_gateway gate;
    limit_to(gate, {slow_rate, 200000, true, 50000});
    gate.set_endpoints({endpoint.port()});
    CHECK(is_status(ask(gate, "id1", "X-Tokens: 90000, 10000\r\n"), 200));
    // Counts as 50,000.
    CHECK(is_status(ask(gate, "id2"), 200));
    // The bucket holds 280,000: the burst and half of the tolerance.
    CHECK(is_status(ask(gate, "id3", "X-Tokens: 130001,0\r\n"), 429));
    CHECK(is_status(ask(gate, "id4", "X-Tokens: 120000,10000\r\n"), 200));
    CHECK(is_status(ask(gate, "id5", "X-Tokens: 1,0\r\n"), 429));
}

// Guards against use by requests that have not run.
TEST_CASE("a request that has certainly not run is given back")
{
    std::atomic<bool> refuses{true};
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            if (refuses)
                conn.answer(request, 503, "", "X-Not-Run: 1\r\n");
            else
                conn.answer(request, 200, "ok");
            return true;
        });
    test_gateway gate;
    limit_to(gate, five_requests);
    gate.set_endpoints({endpoint.port()});
    for (int n = 0; n < 8; ++n)
        CHECK(is_status(ask(gate, "a" + std::to_string(n)), 503));
    refuses = false;
    int served = 0;
    for (int n = 0; n < 40 && served < 5; ++n)
    {
        auto const answer = ask(gate, "b" + std::to_string(n));
        CHECK_FALSE(is_status(answer, 429));
        served += is_status(answer, 200);
        // The endpoint is avoided for a while after a refusal.
        std::this_thread::sleep_for(milliseconds(50));
    }
    CHECK(served == 5);
    CHECK(is_status(ask(gate, "c"), 429));
}

// Guards against a request that counts again when it is sent to another
// endpoint.
TEST_CASE("a request that is retried counts once")
{
    std::atomic<int> seen{0};
    auto const fail_first =
        [&](http_request const& request, scripted_connection& conn)
    {
        if (seen++ % 2 == 0)
        {
            conn.answer(request, 500, "broken");
            return true;
        }
        return answer_ok(request, conn);
    };
    scripted_endpoint first(fail_first);
    scripted_endpoint second(fail_first);
    test_gateway gate;
    limit_to(gate, {slow_rate, 2, false, 0});
    gate.set_endpoints({first.port(), second.port()});
    CHECK(is_status(ask(gate, "id1"), 200));
    CHECK(seen == 2);
    CHECK_FALSE(is_status(ask(gate, "id2"), 429));
    CHECK(is_status(ask(gate, "id3"), 429));
}

// Guards against messages in a deployment that has no limits.
TEST_CASE("without limits a router states nothing")
{
    scripted_endpoint endpoint(answer_ok);
    test_gateway gate;
    std::atomic<int> reports{0};
    std::promise<void> stated;
    gate.run(
        [&]
        {
            gate.get().set_fact_report_handler(
                [&](wire::fact_report const&)
                {
                    if (reports++ == 0)
                        stated.set_value();
                });
        });
    gate.apply(1);
    gate.set_endpoints({endpoint.port()});
    for (int n = 0; n < 20; ++n)
        CHECK(is_status(ask(gate, "id" + std::to_string(n)), 200));
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(reports == 0);
    gate.set_limit(five_requests);
    gate.apply(2);
    stated.get_future().wait();
    CHECK(reports > 0);
}

// Guards against routers that each use the whole limit.
TEST_CASE("two routers use the limit of a workspace together")
{
    scripted_endpoint endpoint(answer_ok);
    test_gateway first;
    test_gateway second;
    for (auto* it : {&first, &second})
    {
        limit_to(*it, five_requests);
        it->set_endpoints({endpoint.port()});
    }
    std::promise<void> told;
    first.run(
        [&]
        {
            first.get().set_fact_report_handler(
                [&, done = false](wire::fact_report report) mutable
                {
                    auto const use = std::any_of(
                        report.facts.begin(), report.facts.end(),
                        [](auto const& it) {
                            return it.kind == wire::fact_kind::workspace_use &&
                                   it.value >= 5;
                        });
                    second.post([&second, report = std::move(report)]
                                { second.get().on_fact_report(report); });
                    if (use && !std::exchange(done, true))
                        told.set_value();
                });
        });
    std::vector<std::thread> callers;
    callers.reserve(5);
    for (int n = 0; n < 5; ++n)
        callers.emplace_back([&first, n]
                             { ask(first, "id" + std::to_string(n)); });
    for (auto& it : callers)
        it.join();
    CHECK(endpoint.requests() == 5);
    told.get_future().wait();
    CHECK(is_status(ask(second, "id6"), 429));
    first.run([&] { first.get().set_fact_report_handler({}); });
}

} // namespace endiveward::gateway
