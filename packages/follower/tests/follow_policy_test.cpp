#include "follower/follow_policy.hpp"

#include <catch2/catch.hpp>

namespace endiveward::follower
{

namespace
{

kernel::steady_time at(int seconds)
{
    return kernel::steady_time(std::chrono::seconds(100 + seconds));
}

} // namespace

// Load pattern: new weights are named four times in 34 s for 180 engines. An
// agent that follows the table makes a call for each change.
TEST_CASE("an agent with routers leaves following the table to them")
{
    CHECK(choose_follow_mode(103, std::nullopt, at(0)) ==
          follow_mode::periodic);
    CHECK(choose_follow_mode(3, std::nullopt, at(0)) == follow_mode::periodic);
}

// Guards against weights that are named while few routers reach the agent.
TEST_CASE("an agent with few routers follows the table itself")
{
    CHECK(choose_follow_mode(0, std::nullopt, at(0)) == follow_mode::long_poll);
    CHECK(choose_follow_mode(2, std::nullopt, at(0)) == follow_mode::long_poll);
}

// Guards against old rows for a router that the store rejects while it serves
// the agent.
TEST_CASE("an agent follows the table while a router asks it for rows")
{
    CHECK(choose_follow_mode(103, at(0), at(9)) == follow_mode::long_poll);
    CHECK(choose_follow_mode(103, at(0), at(10)) == follow_mode::periodic);
}

// Load pattern: a fifth of 180 engines crash or drain within seconds, and each
// of 103 routers makes a call for every batch of changes. Guards against
// requests to a draining endpoint where the time to stop using it is short.
TEST_CASE("changes of endpoints are collected for at most half the drain time")
{
    using std::chrono::milliseconds;
    CHECK(endpoints_coalescing_delay(milliseconds(4000)) == milliseconds(2000));
    CHECK(endpoints_coalescing_delay(milliseconds(2000)) == milliseconds(1000));
    CHECK(endpoints_coalescing_delay(milliseconds(800)) == milliseconds(400));
    CHECK(endpoints_coalescing_delay(milliseconds(30000)) ==
          milliseconds(2000));
}

// Guards against a connection that dies while a call is open and is noticed
// later than the platform allows a process to be out of date.
TEST_CASE(
    "a silent connection is noticed and replaced within the catch-up time")
{
    using std::chrono::milliseconds;
    auto const response_timeout = milliseconds(900);
    auto const catch_up_time = GENERATE(as<milliseconds>(), milliseconds(1800),
                                        milliseconds(3000), milliseconds(5000));
    auto const wait = long_poll_time(catch_up_time, response_timeout);
    CHECK(wait + response_timeout <= catch_up_time - milliseconds(400));
    CHECK(wait >= milliseconds(200));
    // More calls than needed are a cost.
    CHECK(long_poll_time(milliseconds(3000), response_timeout) ==
          milliseconds(1600));
    CHECK(long_poll_time(milliseconds(60000), response_timeout) ==
          milliseconds(4000));
}

} // namespace endiveward::follower
