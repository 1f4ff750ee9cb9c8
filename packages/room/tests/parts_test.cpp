#include "room/drain_estimate.hpp"
#include "room/refused_callers.hpp"
#include "room/workspace_shares.hpp"

#include <catch2/catch.hpp>

namespace endiveward::room
{

namespace
{

kernel::steady_time at(int ms)
{
    return kernel::steady_time(std::chrono::seconds(100) +
                               std::chrono::milliseconds(ms));
}

} // namespace

TEST_CASE("the rate of waiting requests is learned")
{
    drain_estimate estimate;
    CHECK(estimate.tokens_per_ms(80) == Approx(80));
    estimate.advance(false, at(0));
    for (int n = 1; n <= 40; ++n)
    {
        estimate.advance(true, at(100 * n));
        estimate.on_started(2000);
    }
    CHECK(estimate.tokens_per_ms(80) < 45);
    CHECK(estimate.tokens_per_ms(80) > 20);
    // What was measured loses weight.
    estimate.advance(false, at(20000));
    CHECK(estimate.tokens_per_ms(80) == Approx(80).epsilon(0.01));
}

// Guards against a workspace that is served less than a quarter as often as
// all.
TEST_CASE("a workspace whose requests were mostly refused counts as starved")
{
    workspace_shares shares;
    for (int n = 0; n < 20; ++n)
        shares.on_served(1, 1, 1000, at(n));
    CHECK_FALSE(shares.starved(2, at(20)));
    for (int n = 0; n < 4; ++n)
        shares.on_refused(2, at(20));
    CHECK(shares.starved(2, at(20)));
    CHECK_FALSE(shares.starved(1, at(20)));
    for (int n = 0; n < 4; ++n)
        shares.on_served(2, 1, 1000, at(30));
    CHECK_FALSE(shares.starved(2, at(30)));
}

// Guards against memory that grows with the number of workspaces.
TEST_CASE("idle workspaces are forgotten")
{
    workspace_shares shares;
    for (int n = 0; n < 5000; ++n)
        shares.on_refused(static_cast<std::uint64_t>(n), at(n));
    CHECK(shares.size() <= 1024);
}

TEST_CASE("refused callers are remembered for some seconds")
{
    refused_callers callers;
    callers.on_refused(1, at(0), at(100));
    callers.on_refused(2, at(50), at(100));
    CHECK(callers.take(1, at(1000)) == at(0));
    CHECK(callers.take(1, at(1000)) == at(1000));
    CHECK(callers.take(3, at(1000)) == at(1000));
    callers.on_refused(1, at(0), at(3000));
    CHECK(callers.take(2, at(5200)) == at(5200));
    // The entry of the first refusal does not end the second.
    CHECK(callers.take(1, at(5200)) == at(0));
    for (int n = 0; n < 10000; ++n)
        callers.on_refused(static_cast<std::uint64_t>(n), at(0), at(6000));
    CHECK(callers.size() <= 4096);
}

} // namespace endiveward::room
