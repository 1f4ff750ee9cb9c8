#include "e2e/callers.hpp"

#include "support/deployment.hpp"
#include "support/wait.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <future>

namespace endiveward::e2e
{

namespace
{

using nlohmann::json;
using test_support::deployment;
using test_support::http_answer;
using test_support::wait_until;

test_support::deployment_description one_gate()
{
    auto what = quick_deployment(2, {gate("gate-0")});
    return what;
}

std::size_t executions(deployment const& running, std::string const& pass)
{
    auto const all = deployment::stats(running.endpoint_url(0));
    return all["executions_by_pass"].value(pass, std::size_t{0});
}

/// Repeats the call until the router has a connection to the agent, which it
/// says by an answer other than `no_eligible_endpoint`.
http_answer send_when_connected(test_support::http_call const& call)
{
    http_answer answer;
    wait_until(
        [&]
        {
            answer = send(call);
            return code_of(answer) != "no_eligible_endpoint";
        });
    return answer;
}

} // namespace

// Guards G6 against a second execution when the agent dies between the start
// of the call and its report, and forgets what it started.
TEST_CASE("G6: a keyed call is not repeated after its agent was killed")
{
    auto const what = one_gate();
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 1));
    deployment::operate(running.endpoint_url(0), "delay", {{"ms", 60'000}});
    auto const call = check_call(running.router_url(0), "pass-1", "key-1");
    auto first = std::async(std::launch::async, [&] { return send(call); });
    REQUIRE(wait_until([&] { return executions(running, "pass-1") == 1; }));
    running.agent(0).kill();
    auto const lost = first.get();
    INFO(describe(lost));
    CHECK(lost.status >= 500);
    CHECK(run_of(lost) == "unknown");

    deployment::operate(running.endpoint_url(0), "delay", {{"ms", 0}});
    running.agent(0).start();
    running.wait_until_agent_ready(0);
    for (std::size_t n : {1, 0, 1})
    {
        auto const retry = send_when_connected(
            check_call(running.router_url(n), "pass-1", "key-1"));
        INFO(describe(retry));
        CHECK(retry.status == 502);
        CHECK(code_of(retry) == "outcome_unknown");
        CHECK(run_of(retry) == "unknown");
    }
    CHECK(executions(running, "pass-1") == 1);
    auto const other =
        send(check_call(running.router_url(1), "pass-2", "key-2"));
    INFO(describe(other));
    CHECK(other.status == 200);
    CHECK(executions(running, "pass-2") == 1);
}

// Guards G6 and G5 against a call that runs twice, or is reported as not run,
// because the answer to its claim or to its outcome was lost.
TEST_CASE("G6: a keyed call runs once when answers of the table are lost")
{
    auto const what = one_gate();
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 1));
    for (int lost = 1; lost <= 3; ++lost)
    {
        auto const pass = fmt::format("pass-{}", lost);
        auto const key = fmt::format("key-{}", lost);
        deployment::operate(running.platform_url(), "lose_answers",
                            {{"count", lost}});
        auto const first =
            send_when_connected(check_call(running.router_url(0), pass, key));
        INFO(lost << " answers lost: " << describe(first));
        // The agent reads back whether its claim took effect.
        CHECK(first.status == 200);
        running.agent(0).kill();
        running.agent(0).start();
        running.wait_until_agent_ready(0);
        auto const retry =
            send_when_connected(check_call(running.router_url(1), pass, key));
        INFO("retry: " << describe(retry));
        CHECK((retry.status == 200 || run_of(retry) == "unknown"));
        if (retry.status == 200)
            CHECK(json::parse(retry.body)["execution"] == 1);
        CHECK(executions(running, pass) == 1);
    }
}

// Guards G6 against a second execution when the table comes back from a copy
// without the claim, and the agent that wrote it again then ends.
TEST_CASE("G6: a keyed call is not repeated after a restore of the table")
{
    auto const what = one_gate();
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 1));
    auto const first = send_when_connected(
        check_call(running.router_url(0), "pass-1", "key-1"));
    REQUIRE(first.status == 200);
    auto const claims = running.platform_url() + "/v1/rows?prefix=claims%2F";
    auto const claim_count = [&]
    { return json::parse(test_support::get(claims).body)["rows"].size(); };
    REQUIRE(claim_count() == 1);
    // The copy is older than the deployment, so that it is empty.
    deployment::operate(running.platform_url(), "restore",
                        {{"copy_age_ms", 250'000}, {"away_ms", 0}});
    REQUIRE(claim_count() == 0);
    wait_until([&] { return claim_count() == 1; });
    running.agent(0).kill();
    running.agent(0).start();
    running.wait_until_agent_ready(0);
    // Keyed calls are refused for a time after a restore.
    http_answer retry;
    wait_until(
        [&]
        {
            retry = send_when_connected(
                check_call(running.router_url(1), "pass-1", "key-1"));
            return code_of(retry) != "store_unavailable";
        });
    INFO(describe(retry));
    CHECK(retry.status == 200);
    CHECK(executions(running, "pass-1") == 1);
}

// Guards G6 and G5 against a keyed call that runs without a claim while the
// table is down, and against a refusal that blocks the later retry.
TEST_CASE("G5 G6: a keyed call is refused and not run while the table is down")
{
    auto const what = one_gate();
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 1));
    deployment::operate(running.platform_url(), "table_down");
    auto call = check_call(running.router_url(0), "pass-1", "key-1");
    call.headers["X-Request-Timeout-Ms"] = "1500";
    auto const refused = send(call);
    INFO(describe(refused));
    CHECK(refused.status == 503);
    CHECK(code_of(refused) == "store_unavailable");
    CHECK(run_of(refused) == "not_run");
    CHECK(refused.headers.count("retry-after") == 1);
    CHECK(executions(running, "pass-1") == 0);

    // An operation that may be repeated needs no claim.
    test_support::http_call hold;
    hold.url = running.router_url(1) + "/services/gate/holds/h-1";
    hold.headers["Authorization"] = "Bearer " + api_key(0);
    CHECK(send(hold).status == 200);

    deployment::operate(running.platform_url(), "table_down", {{"on", false}});
    auto const retry =
        send(check_call(running.router_url(1), "pass-1", "key-1"));
    INFO(describe(retry));
    CHECK(retry.status == 200);
    CHECK(executions(running, "pass-1") == 1);
}

} // namespace endiveward::e2e
