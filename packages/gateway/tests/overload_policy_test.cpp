#include "gateway/overload_policy.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds target{600};
constexpr milliseconds time_left{3000};

struct outcome
{
    int in_time = 0;
    int late = 0;
    int refused = 0;
};

/// One engine that begins requests one after the other. Arrivals come at 1.5
/// times its rate; nobody who is refused comes back.
outcome replay(overload_policy const* policy)
{
    constexpr milliseconds arrival_interval{40};
    constexpr milliseconds service_time{60};
    constexpr int arrivals = 500;
    outcome res;
    milliseconds free_at{0};
    for (int k = 0; k < arrivals; ++k)
    {
        auto const now = arrival_interval * k;
        auto const wait = std::max(free_at - now, milliseconds(0));
        if (policy != nullptr && policy->refusal(wait, target, time_left))
        {
            ++res.refused;
            continue;
        }
        free_at = now + wait + service_time;
        if (free_at - now <= target)
            ++res.in_time;
        else
            ++res.late;
    }
    return res;
}

} // namespace

// Load pattern: lasting load above the capacity. Without refusals the queue
// grows until every answer is late, and the engine's work is worth little.
TEST_CASE("under lasting overload the engine's work is in time")
{
    auto const all_admitted = replay(nullptr);
    CHECK(all_admitted.in_time < 50);
    overload_policy const policy({});
    auto const limited = replay(&policy);
    CHECK(limited.late == 0);
    // The engine can serve two thirds of the arrivals and is kept busy.
    CHECK(limited.in_time >= 330);
    CHECK(limited.refused <= 170);
}

TEST_CASE("a request is admitted while the wait is short")
{
    overload_policy const policy({});
    CHECK_FALSE(policy.refusal(milliseconds(0), target, time_left));
    CHECK_FALSE(policy.refusal(milliseconds(100), target, time_left));
    auto const back = policy.refusal(milliseconds(400), target, time_left);
    REQUIRE(back);
    CHECK(*back > milliseconds(0));
    CHECK(*back < target);
}

TEST_CASE("a wait beyond the caller's time refuses a request of any route")
{
    overload_policy const policy({});
    CHECK(
        policy.refusal(milliseconds(500), milliseconds(0), milliseconds(400)));
    CHECK_FALSE(
        policy.refusal(milliseconds(500), milliseconds(0), milliseconds(4000)));
}

} // namespace endiveward::gateway
