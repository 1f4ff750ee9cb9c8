#include "quota/tests/support/callers.hpp"

#include <catch2/catch.hpp>

namespace endiveward::quota
{

namespace
{

using std::chrono::seconds;

constexpr std::size_t routers = 26;
constexpr limit small_limit{18000, 36000, true, 2000};
constexpr limit large_limit{200000, 400000, true, 2000};
constexpr double overload = 7.5;

double share_of_limit(deployment::outcome const& it, limit const& of,
                      seconds time)
{
    return it.admitted /
           (of.rate_per_s * static_cast<double>(time.count()) + of.burst);
}

} // namespace

// Guards against requests that are refused although the workspace is below its
// limit, since its callers arrive unevenly or at random.
TEST_CASE("a workspace below its limit is not refused")
{
    auto const hot = GENERATE(0.0, 0.5, 1.0);
    deployment all(routers, 1);
    all.set_limit(1, large_limit);
    all.settle();
    callers a(all, 1, 0.9 * large_limit.rate_per_s, request_mix::mixed);
    a.set_hot_share(hot);
    all.run(seconds(40), [&] { a.step(); });
    CHECK(all.result(1).refused == 0);
    CHECK(all.worst() <= 1);
}

// Guards against routers that together admit several times the limit, or much
// less than it, wherever the callers of a busy workspace arrive.
TEST_CASE("a workspace with many times its usual load gets its limit")
{
    auto const it = GENERATE(small_limit, large_limit);
    auto const mix = GENERATE(request_mix::short_only, request_mix::mixed,
                              request_mix::long_only);
    auto const hot = GENERATE(0.0, 0.6, 1.0);
    auto const retry = GENERATE(retry_behavior::none, retry_behavior::once,
                                retry_behavior::abusive);
    deployment all(routers, 2);
    all.set_limit(1, it);
    all.settle();
    callers a(all, 1, 0.9 * overload * it.rate_per_s, mix);
    a.set_hot_share(hot);
    a.set_retry(retry);
    all.run(seconds(20), [&] { a.step(); });
    CAPTURE(it.rate_per_s, static_cast<int>(mix), hot, static_cast<int>(retry));
    CHECK(all.worst() <= 1);
    CHECK(share_of_limit(all.result(1), it, seconds(20)) >= 0.9);
}

} // namespace endiveward::quota
