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

// Guards against a limit that is lowered while a workspace uses the former one.
TEST_CASE("a limit that is lowered far below the load is kept")
{
    auto const retry = GENERATE(retry_behavior::once, retry_behavior::abusive);
    deployment all(routers, 3);
    all.set_limit(1, large_limit);
    all.settle();
    callers a(all, 1, large_limit.rate_per_s, request_mix::mixed);
    a.set_retry(retry);
    all.run(seconds(10), [&] { a.step(); });
    all.set_limit(1, small_limit);
    auto const before = all.result(1).admitted;
    all.run(seconds(30), [&] { a.step(); });
    CHECK(all.worst() <= 1);
    auto const admitted = all.result(1).admitted - before;
    CHECK(admitted >= 0.9 * 30 * small_limit.rate_per_s);
}

// Guards against routers that use the whole limit although they do not hear
// each other.
TEST_CASE("the limit is kept while half of the routers are cut off")
{
    auto const it = GENERATE(small_limit, large_limit);
    auto const retry = GENERATE(retry_behavior::once, retry_behavior::abusive);
    deployment all(routers, 4);
    all.set_limit(1, it);
    all.settle();
    callers a(all, 1, 0.9 * overload * it.rate_per_s, request_mix::mixed);
    a.set_retry(retry);
    all.run(seconds(10), [&] { a.step(); });
    for (std::size_t n = 0; n < routers / 2; ++n)
        all.cut_off(n);
    all.run(seconds(9), [&] { a.step(); });
    for (std::size_t n = 0; n < routers / 2; ++n)
        all.reconnect(n);
    auto const before = all.result(1).admitted;
    all.run(seconds(20), [&] { a.step(); });
    CHECK(all.worst() <= 1);
    // Less than in other cases, since debt from before is paid back.
    CHECK(all.result(1).admitted - before >= 0.85 * 20 * it.rate_per_s);
}

// Guards against routers that forget what was used, and against routers that
// refuse a workspace below its limit for long, since they know nothing.
TEST_CASE("the limit is kept when all routers are killed and are back")
{
    auto const load = GENERATE(0.8, 0.9 * overload);
    deployment all(routers, 5);
    all.set_limit(1, large_limit);
    all.settle();
    callers a(all, 1, load * large_limit.rate_per_s, request_mix::mixed);
    all.run(seconds(10), [&] { a.step(); });
    for (std::size_t n = 0; n < routers; ++n)
        all.kill_router(n);
    auto const before = all.result(1);
    all.run(seconds(1), [&] { a.step(); });
    auto const back = all.result(1);
    all.run(seconds(20), [&] { a.step(); });
    CHECK(all.worst() <= 1);
    if (load > 1)
        return;
    // Until the first statements have arrived, each router uses its share.
    CHECK(back.refused - before.refused <=
          (back.requests - before.requests) * 0.6);
    CHECK(all.result(1).refused == back.refused);
}

// Guards against a request that is larger than the bucket and never admitted.
TEST_CASE("requests larger than the burst are served below the limit")
{
    deployment all(routers, 6);
    all.set_limit(1, small_limit);
    all.settle();
    for (int n = 0; n < 10; ++n)
    {
        all.request(1, 54600, all.any_router());
        all.run(seconds(4), [] {});
    }
    CHECK(all.result(1).refused == 0);
    CHECK(all.worst() <= 1);
}

} // namespace endiveward::quota
