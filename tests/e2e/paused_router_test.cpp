#include "e2e/callers.hpp"

#include "support/deployment.hpp"
#include "support/wait.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <future>
#include <thread>

namespace endiveward::e2e
{

namespace
{

using nlohmann::json;
using test_support::deployment;
using test_support::http_call;
using test_support::wait_until;

// The order lease and the resume window are 10 s.
constexpr std::chrono::seconds pause{12};

/// Executions of a check at both gates.
std::size_t executions(deployment const& running, std::string const& pass)
{
    std::size_t sum = 0;
    for (std::size_t n : {0, 1})
        sum += deployment::stats(running.endpoint_url(n))["executions_by_pass"]
                   .value(pass, std::size_t{0});
    return sum;
}

} // namespace

// Guards G6 against calls that a router held while it was paused for longer
// than every lease, and that were repeated elsewhere in the meantime.
TEST_CASE("G6: a router that was paused repeats no call")
{
    constexpr std::size_t count = 32;
    auto const what = quick_deployment(
        2, {gate("gate-a", "hall-a"), gate("gate-b", "hall-b")});
    deployment running(what);
    running.commit(first_operations(what));
    running.commit(json::array({rule_operation("zone=hall-a")}));
    REQUIRE(wait_until_connected(running, 2));
    deployment::operate(running.endpoint_url(0), "delay", {{"ms", 100}});
    std::vector<http_call> calls;
    for (std::size_t n = 0; n < count; ++n)
        calls.push_back(check_call(running.router_url(0),
                                   fmt::format("pass-{}", n),
                                   fmt::format("key-{}", n)));
    auto first =
        std::async(std::launch::async, [&calls] { return send_all(calls); });
    REQUIRE(wait_until(
        [&] {
            return deployment::stats(running.endpoint_url(0))["executions"] >=
                   4;
        }));
    running.router(0).pause();
    auto const paused_at = std::chrono::steady_clock::now();
    // The repetitions go to another agent, so that only claim rows decide.
    running.commit(json::array({rule_operation("zone=hall-b")}), {1});
    auto retries = calls;
    for (auto& it : retries)
        it.url = running.router_url(1) + "/services/gate/check";
    auto const repeated = send_all(retries);
    std::this_thread::sleep_until(paused_at + pause);
    running.router(0).proceed();

    auto const answers = first.get();
    for (std::size_t n = 0; n < count; ++n)
    {
        INFO(n << ": first " << describe(answers[n]) << ", repeated "
               << describe(repeated[n]));
        auto const ran = executions(running, fmt::format("pass-{}", n));
        CHECK(ran <= 1);
        for (auto const* it : {&answers[n], &repeated[n]})
            if (it->status == 200)
                CHECK(ran == 1);
            else
                CHECK((run_of(*it) == "unknown" || run_of(*it) == "not_run"));
    }
}

// Guards G9 against a router that acts on the configuration that it held while
// it was paused, with endpoints that got no call under the newer one.
TEST_CASE("G9: a router that was paused serves the newest version")
{
    auto const what = quick_deployment(
        2, {engine("worker-a", "hall-a"), engine("worker-b", "hall-b")});
    deployment running(what);
    running.commit(first_operations(what));
    running.commit(json::array({rule_operation("zone=hall-a")}));
    REQUIRE(wait_until_connected(running, 2));
    running.router(0).pause();
    auto const paused_at = std::chrono::steady_clock::now();
    running.commit(json::array({rule_operation("zone=hall-b")}), {1});
    auto const body = chat("meanwhile", false, 2);
    CHECK(is_right(send(chat_call(running.router_url(1), body)), body));
    std::this_thread::sleep_until(paused_at + pause);
    // Only agents and peers can tell it of the newer version.
    deployment::operate(running.platform_url(), "table_down");
    running.router(0).proceed();
    for (std::size_t n = 0; n < 10; ++n)
    {
        auto const later = chat(fmt::format("later-{}", n), n % 2 == 0, 2);
        auto const answer = send(chat_call(running.router_url(0), later));
        INFO(describe(answer));
        // It may refuse until it has caught up.
        if (answer.status != 200)
            CHECK(run_of(answer) == "not_run");
        else
            CHECK(endpoint_of(answer) == "worker-b");
    }
    CHECK(deployment::stats(running.endpoint_url(0))["requests"] == 0);
    auto const last = chat("last", true, 2);
    CHECK(wait_until(
        [&] {
            return is_right(send(chat_call(running.router_url(0), last)), last);
        }));
}

} // namespace endiveward::e2e
