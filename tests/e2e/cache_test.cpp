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
using test_support::http_answer;
using test_support::wait_until;

constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t prefix_blocks = 6;

/// What the router said of the cache before the engine answered.
std::size_t claimed_bytes(http_answer const& answer)
{
    return std::stoull(answer.headers.at("x-endiveward-cached-bytes"));
}

/// What the engine says that it took from its cache.
std::size_t used_bytes(http_answer const& answer)
{
    auto const usage = read_chat(answer).usage;
    return usage.at("prompt_tokens_details")
               .at("cached_tokens")
               .get<std::size_t>() *
           bytes_per_token;
}

json question(std::size_t prefix, std::string const& marker)
{
    return chat(marker, true, 2,
                long_text(prefix_blocks, fmt::format("firm {}", prefix)));
}

} // namespace

// Guards G1 against claims on the cache of a dead engine: the engine returns
// empty at the same address, late events of the dead one arrive, and routers
// still hold their hit hints.
TEST_CASE("G1: no claim names cached bytes of a dead engine")
{
    constexpr std::size_t prefixes = 8;
    auto const what = quick_deployment(2, {engine("worker-0")});
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 1));
    auto const ask = [&](std::size_t router, json const& body)
    { return send(chat_call(running.router_url(router), body)); };
    for (std::size_t n = 0; n < prefixes; ++n)
        for (std::size_t router : {0, 1})
        {
            auto const body = question(n, "before");
            REQUIRE(wait_until(
                [&]
                {
                    auto const answer = ask(router, body);
                    return is_right(answer, body) && claimed_bytes(answer) > 0;
                }));
        }
    auto const& url = running.endpoint_url(0);
    auto old =
        json::parse(test_support::get(url + "/v1/cache/events?after=0").body);
    REQUIRE(old["events"].size() >= prefixes * prefix_blocks);
    constexpr int repetitions = 4;
    old["times"] = repetitions;

    deployment::operate(url, "crash");
    REQUIRE(running.endpoint(0).wait(test_support::long_limit).has_value());
    running.endpoint(0).start();
    REQUIRE(test_support::wait_until_serving(url + "/v1/load"));
    deployment::operate(url, "old_events", old);
    for (std::size_t n = 0; n < prefixes; ++n)
    {
        if (n == prefixes / 2)
            REQUIRE(wait_until(
                [&] {
                    return deployment::stats(url).value("old_events", 0) ==
                           repetitions;
                }));
        auto const body = question(n, "after");
        http_answer answer;
        REQUIRE(wait_until(
            [&]
            {
                answer = ask(n % 2, body);
                return answer.status == 200;
            }));
        INFO("prefix " << n << ": " << describe(answer));
        CHECK(is_right(answer, body));
        CHECK(used_bytes(answer) == 0);
        CHECK(claimed_bytes(answer) == 0);
    }
    // The cache of the new engine counts again.
    for (std::size_t router : {0, 1})
    {
        auto const body = question(0, "again");
        http_answer answer;
        CHECK(wait_until(
            [&]
            {
                answer = ask(router, body);
                return is_right(answer, body) && claimed_bytes(answer) > 0;
            }));
        CHECK(claimed_bytes(answer) <= used_bytes(answer));
    }
}

} // namespace endiveward::e2e
