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

/// Simulates one engine that serves requests one after the other. Requests
/// arrive at 1.5 times its service rate; refused ones are not retried.
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
        if (policy != nullptr && wait > policy->max_wait(target, time_left))
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
// grows until every response is late and the engine's work is wasted.
TEST_CASE("under lasting overload admitted requests are served in time")
{
    auto const all_admitted = replay(nullptr);
    CHECK(all_admitted.in_time < 50);
    overload_policy const policy({});
    auto const limited = replay(&policy);
    CHECK(limited.late == 0);
    // The engine can serve two thirds of the arrivals and is never idle.
    CHECK(limited.in_time >= 330);
    CHECK(limited.refused <= 170);
}

TEST_CASE("a short wait is admitted and a refused caller can be in time later")
{
    overload_policy const policy({});
    CHECK(policy.max_wait(target, time_left) >= milliseconds(100));
    CHECK(policy.max_wait(target, time_left) < target / 2);
    CHECK(policy.retry_after() > milliseconds(0));
    CHECK(policy.retry_after() < target);
}

TEST_CASE("no request is admitted with a wait beyond the time left")
{
    overload_policy const policy({});
    CHECK(policy.max_wait(milliseconds(0), time_left) == time_left);
    CHECK(policy.max_wait(target, milliseconds(20)) == milliseconds(20));
}

} // namespace endiveward::gateway
