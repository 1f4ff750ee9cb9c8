#include "follower/removal_hold.hpp"

#include <catch2/catch.hpp>

namespace endiveward::follower
{

namespace
{

using std::chrono::milliseconds;

constexpr kernel::steady_time start{std::chrono::seconds(100)};

/// A store that answered again at `start`, `since_failure` after the last call
/// that failed was made, up to position 40.
removal_hold after_outage(milliseconds since_failure)
{
    removal_hold res({});
    contact_change change{true, ""};
    change.last_failed_call = start - since_failure;
    change.position = {1, 40};
    res.on_contact_change(change, start);
    return res;
}

} // namespace

TEST_CASE("without an outage no removed endpoint is held")
{
    removal_hold hold({});
    hold.on_contact_change({false, "timeout"}, start);
    CHECK_FALSE(hold.held_until({1, 7}, start));
}

TEST_CASE("an entry that expired in an outage has time to register again")
{
    auto const hold = after_outage(milliseconds(100));
    CHECK(hold.held_until({1, 40}, start) == start + milliseconds(2400));
}

// Guards against requests to an endpoint that left while the store rejected
// this process alone: the hold must end before the process counts as up to date
// again, 3 s after the store may have answered it.
TEST_CASE("a hold ends before the process must know of the outage's changes")
{
    auto const hold = after_outage(milliseconds(1300));
    CHECK(hold.held_until({1, 40}, start) == start + milliseconds(1500));
    CHECK_FALSE(after_outage(milliseconds(2900)).held_until({1, 40}, start));
}

// Guards against requests to an endpoint that left after the outage.
TEST_CASE("a removal after an outage is held within the drain time")
{
    auto const hold = after_outage(milliseconds(100));
    auto const now = start + milliseconds(500);
    CHECK(hold.held_until({1, 41}, now) == now + milliseconds(800));
    // The grace period of expired entries ends earlier.
    auto const later = start + milliseconds(2000);
    CHECK(hold.held_until({1, 42}, later) == start + milliseconds(2400));
    CHECK_FALSE(hold.held_until({1, 43}, start + milliseconds(2400)));
}

} // namespace endiveward::follower
