#include "e2e/callers.hpp"

#include "support/deployment.hpp"
#include "support/wait.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace endiveward::e2e
{

namespace
{

using nlohmann::json;
using test_support::deployment;
using test_support::http_call;

} // namespace

// Guards G2 and G4 against answers that are crossed between concurrent
// requests, truncated or duplicated, on one connection to each agent.
TEST_CASE("G2 G4: concurrent requests through two routers get their own answer")
{
    constexpr std::size_t workspaces = 4;
    constexpr std::size_t count = 320;
    auto what = quick_deployment(2, {engine("worker-0", "hall-a"),
                                     engine("worker-1", "hall-b"),
                                     engine("worker-2", "hall-c")});
    deployment running(what);
    running.commit(first_operations(what, workspaces));
    REQUIRE(wait_until_connected(running, 3));
    std::vector<json> bodies;
    std::vector<http_call> calls;
    for (std::size_t n = 0; n < count; ++n)
    {
        auto const system = long_text(1 + n % 3, fmt::format("firm {}", n % 5));
        bodies.push_back(
            chat(fmt::format("file-{}", n), n % 2 == 0, 4 + n % 9, system));
        calls.push_back(chat_call(running.router_url((n / 2) % 2),
                                  bodies.back(), n % workspaces));
    }
    auto const answers = send_all(calls);
    for (std::size_t n = 0; n < count; ++n)
    {
        INFO(n << ": " << describe(answers[n]));
        CHECK(is_right(answers[n], bodies[n]));
    }
}

// Guards G5 against errors that end the process, hide that nothing was run, or
// differ from the documented ones.
TEST_CASE("G5: refused requests get their documented error and are not run")
{
    auto what = quick_deployment(1, {engine("worker-0")});
    what.router_settings["limits"]["max_body_bytes"] = std::int64_t{65'536};
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 1));
    auto const& url = running.router_url(0);
    auto const expect =
        [&](http_call const& call, long status, std::string const& code)
    {
        auto const answer = send(call);
        INFO(call.url << " " << describe(answer));
        CHECK(answer.status == status);
        CHECK(code_of(answer) == code);
        CHECK(run_of(answer) == "not_run");
    };
    auto const good = chat("good", false);
    auto malformed = chat_call(url, good);
    malformed.body = R"({"model": "review", "messages": [)";
    expect(malformed, 400, "invalid_request");
    auto wrong_type = chat_call(url, good);
    wrong_type.body = R"({"model": 4, "messages": "none"})";
    expect(wrong_type, 400, "invalid_request");
    auto oversized = chat_call(url, chat("big", false, 4, long_text(80, "x")));
    expect(oversized, 413, "body_too_large");
    auto wrong_key = chat_call(url, good);
    wrong_key.headers["Authorization"] = "Bearer wrong";
    expect(wrong_key, 401, "invalid_key");
    auto unknown = good;
    unknown["model"] = "unknown";
    expect(chat_call(url, unknown), 404, "model_not_found");
    auto service = check_call(url, "p", "k");
    service.url = url + "/services/unknown/check";
    expect(service, 404, "service_not_found");
    running.commit(json::array({rule_operation("zone=nowhere")}));
    expect(chat_call(url, good), 503, "no_eligible_endpoint");
    running.commit(json::array({rule_operation("")}));
    auto const answer = send(chat_call(url, good));
    INFO(describe(answer));
    CHECK(is_right(answer, good));
    CHECK(deployment::stats(running.endpoint_url(0))["executions"] == 1);
}

// Guards G5 and admission against requests that wait beyond their deadline
// when every endpoint is busy, or that are refused after they ran.
TEST_CASE("G5: requests are refused at once when every endpoint is busy")
{
    auto what = quick_deployment(1, {engine("worker-0")});
    what.endpoints[0].capacity = 1;
    what.endpoints[0].options.push_back("--token-interval-ms=100");
    what.endpoints[0].agent_settings["endpoint"]["max_queue"] = std::int64_t{1};
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 1));
    auto const& url = running.router_url(0);
    std::vector<json> bodies;
    std::vector<http_call> calls;
    for (int n = 0; n < 12; ++n)
    {
        bodies.push_back(chat(fmt::format("busy-{}", n), n % 2 == 0, 8));
        calls.push_back(chat_call(url, bodies.back()));
    }
    auto const answers = send_all(calls);
    std::size_t refused = 0;
    for (std::size_t n = 0; n < answers.size(); ++n)
    {
        if (is_right(answers[n], bodies[n]))
            continue;
        ++refused;
        INFO(describe(answers[n]));
        CHECK(answers[n].status == 429);
        CHECK(code_of(answers[n]) == "overloaded");
        CHECK(run_of(answers[n]) == "not_run");
        CHECK(answers[n].headers.count("retry-after") == 1);
    }
    CHECK(refused > 0);
    CHECK(refused < answers.size());
    auto const ran = deployment::stats(running.endpoint_url(0))["executions"];
    CHECK(ran == answers.size() - refused);
    auto const after = chat("after", true);
    CHECK(is_right(send(chat_call(url, after)), after));
}

} // namespace endiveward::e2e
