#include "availability/endpoint_pause.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

namespace endiveward::availability
{

namespace
{

using std::chrono::milliseconds;

kernel::steady_time at(int ms)
{
    return kernel::steady_time(std::chrono::seconds(100)) + milliseconds(ms);
}

/// The pauses of the routers of a large fleet at one endpoint.
std::vector<endpoint_pause> fleet(std::uint64_t seed)
{
    constexpr std::uint64_t routers = 103;
    std::vector<endpoint_pause> res;
    for (std::uint64_t n = 0; n < routers; ++n)
        res.emplace_back(pause_settings(), seed * routers + n);
    return res;
}

} // namespace

TEST_CASE("an endpoint that asked for no pause takes any number of requests")
{
    endpoint_pause const pause({}, 1);
    CHECK(pause.allows(at(0), 1000));
    CHECK_FALSE(pause.paused_until(at(0)));
}

// Guards against requests to an endpoint that has asked for none.
TEST_CASE("no request is allowed before the time asked for has passed")
{
    for (std::uint64_t seed = 0; seed < 200; ++seed)
    {
        endpoint_pause pause({}, seed);
        CHECK(pause.begin(at(0), milliseconds(2000)));
        CHECK_FALSE(pause.allows(at(0), 0));
        CHECK_FALSE(pause.allows(at(1999), 0));
        auto const until = pause.paused_until(at(0));
        REQUIRE(until);
        CHECK(*until >= at(2000));
        CHECK(*until <= at(2500));
        CHECK_FALSE(pause.allows(*until - milliseconds(1), 0));
        CHECK(pause.allows(*until, 0));
        CHECK_FALSE(pause.paused_until(*until));
    }
}

TEST_CASE("a pause is extended and never shortened")
{
    endpoint_pause pause({}, 1);
    CHECK(pause.begin(at(0), milliseconds(2000)));
    auto const first = pause.paused_until(at(0));
    CHECK_FALSE(pause.begin(at(100), milliseconds(300)));
    CHECK(pause.paused_until(at(100)) == first);
    CHECK_FALSE(pause.begin(at(200), milliseconds(2000)));
    CHECK(pause.paused_until(at(200)) == *first + milliseconds(200));
    // Another refusal while the traffic returns is a pause of its own.
    CHECK(pause.begin(*first + milliseconds(210), milliseconds(1000)));
    CHECK_FALSE(pause.allows(*first + milliseconds(1200), 0));
}

TEST_CASE("a restart ends a pause")
{
    endpoint_pause pause({}, 1);
    pause.begin(at(0), milliseconds(2000));
    pause.reset();
    CHECK(pause.allows(at(1), 1000));
    CHECK_FALSE(pause.paused_until(at(1)));
    CHECK(pause.begin(at(2), milliseconds(100)));
    CHECK_FALSE(pause.allows(at(101), 0));
}

// Load pattern: an engine whose queue is full refuses the requests of 103
// routers within a moment and asks each for the same pause. Without a spread
// all of them send again in the same millisecond and fill the queue at once.
TEST_CASE("routers that were paused together return one after the other")
{
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        auto routers = fleet(seed);
        // Several requests of each router are refused.
        for (int ms = 0; ms < 20; ms += 5)
        {
            for (auto& it : routers)
                it.begin(at(ms), milliseconds(2000));
        }
        std::vector<int> returned_by;
        for (int ms = 2000; ms <= 2550; ms += 50)
            returned_by.push_back(static_cast<int>(std::count_if(
                routers.begin(), routers.end(),
                [&](auto const& it) { return it.allows(at(ms), 0); })));
        CHECK(returned_by.front() == 0);
        CHECK(returned_by.back() == 103);
        // Each twentieth of a second brings at most a quarter of them.
        for (std::size_t n = 1; n < returned_by.size(); ++n)
            CHECK(returned_by[n] - returned_by[n - 1] <= 26);
        // They use the whole window.
        CHECK(returned_by[returned_by.size() / 2] >= 26);
        CHECK(returned_by[returned_by.size() / 2] <= 77);
    }
}

// Load pattern: as above; each router has dozens of requests waiting for the
// engine when its pause ends.
TEST_CASE("a returning router sends few requests at first")
{
    endpoint_pause pause({}, 7);
    pause.begin(at(0), milliseconds(2000));
    auto const end = *pause.paused_until(at(0));
    auto const limit = [&](int ms)
    {
        std::uint32_t res = 0;
        while (res < 1000 && pause.allows(end + milliseconds(ms), res))
            ++res;
        return res;
    };
    CHECK(limit(0) == 1);
    CHECK(limit(99) == 1);
    CHECK(limit(100) == 2);
    CHECK(limit(500) == 6);
    CHECK(limit(999) == 10);
    CHECK(limit(1000) == 1000);
}

} // namespace endiveward::availability
