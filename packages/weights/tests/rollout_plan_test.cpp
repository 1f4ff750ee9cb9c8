#include "weights/rollout_plan.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

namespace endiveward::weights
{

namespace
{

std::vector<kernel::endpoint_id> ids(int n)
{
    std::vector<kernel::endpoint_id> res;
    res.reserve(static_cast<std::size_t>(n));
    for (int k = 0; k < n; ++k)
        res.emplace_back("e" + std::to_string(k));
    return res;
}

} // namespace

TEST_CASE("the plan does not depend on the sequence of the list")
{
    auto list = ids(12);
    rollout_plan const plan(list, 2, {});
    std::reverse(list.begin(), list.end());
    rollout_plan const same(list, 2, {});
    for (auto const& it : list)
        CHECK(plan.start_delay_of(it) == same.start_delay_of(it));
    CHECK_FALSE(plan.start_delay_of(kernel::endpoint_id("other")));
}

// Guards against a rollout that makes too many endpoints unavailable at the
// same time.
TEST_CASE("the number of concurrent loads is limited")
{
    auto const n = GENERATE(1, 9, 12, 56);
    auto const list = ids(n);
    rollout_plan const plan(list, 3, {});
    std::map<std::chrono::milliseconds, int> groups;
    for (auto const& it : list)
        ++groups[*plan.start_delay_of(it)];
    for (auto const& [start, size] : groups)
        CHECK(size <= std::max(2, n / 5));
    CHECK(groups.begin()->first.count() == 0);
}

// Guards against an endpoint that is last in each of several rollouts, each of
// which starts before the previous one has ended.
TEST_CASE("the last endpoint of one rollout is among the first of the next")
{
    auto const list = ids(12);
    rollout_plan const odd(list, 3, {});
    rollout_plan const even(list, 4, {});
    for (auto const& it : list)
    {
        if (*odd.start_delay_of(it) == odd.last_start_delay())
            CHECK(even.start_delay_of(it)->count() == 0);
    }
}

} // namespace endiveward::weights
