#include "quota/quota_table.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <variant>

namespace endiveward::quota
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

limit const some_limit{1000, 2000, false, 0};
limit const admitted = admitted_limit(some_limit);

struct fixture
{
    fixture() { table.set_limits({{1, some_limit}}, now); }

    bool admits(double cost)
    {
        return std::holds_alternative<within_limit>(table.admit(1, cost, now));
    }

    void wait(milliseconds time)
    {
        for (; time > milliseconds(0); time -= milliseconds(100))
        {
            now += milliseconds(100);
            table.tick(now);
        }
    }

    wire::fact use(double value, std::uint64_t source = 7,
                   milliseconds age = {}) const
    {
        return {wire::fact_kind::workspace_use, 1, source, value, 1, age};
    }

    kernel::steady_time now{seconds(1000)};
    quota_table table{1, 2, now};
};

} // namespace

// Guards against use that counts although nothing ran, in the own bucket or in
// those of others.
TEST_CASE("a charge that is given back does not count anywhere")
{
    fixture f;
    f.wait(seconds(12));
    auto const charge = f.table.on_sent(1, 1500, f.now);
    REQUIRE(charge);
    CHECK_FALSE(f.admits(1000));
    auto const stated = f.table.tick(f.now + milliseconds(100));
    REQUIRE_FALSE(stated.empty());
    CHECK(stated[0].value == 1500);
    f.table.give_back(*charge, f.now);
    CHECK(f.table.level(1, f.now) == Approx(admitted.burst));
    f.now += milliseconds(100);
    auto const corrected = f.table.tick(f.now + milliseconds(100));
    REQUIRE_FALSE(corrected.empty());
    CHECK(corrected[0].source == stated[0].source);
    CHECK(corrected[0].value == 0);
}

// Guards against use that counts twice, and against the loss of a message after
// which use is never counted.
TEST_CASE("only the difference to the last value of a source counts")
{
    fixture f;
    f.wait(seconds(12));
    for (auto const value : {300, 300, 500})
        f.table.on_fact(f.use(value), f.now);
    CHECK(f.table.level(1, f.now) == Approx(admitted.burst - 500));
    f.table.on_fact(f.use(100, 8), f.now);
    CHECK(f.table.level(1, f.now) == Approx(admitted.burst - 600));
}

// Guards against a router that starts with a full bucket while the others have
// used the limit, or that stays empty although agents tell what was used.
TEST_CASE("a router that starts is empty until it is told what was used")
{
    fixture f;
    CHECK(f.table.level(1, f.now) == Approx(0).margin(1));
    f.wait(milliseconds(500));
    CHECK(f.table.level(1, f.now) == Approx(admitted.rate_per_s / 2));
    f.table.on_fact(f.use(0, 9, milliseconds(9900)), f.now);
    f.table.on_fact(f.use(800, 7, milliseconds(100)), f.now);
    f.wait(milliseconds(100));
    CHECK(f.table.level(1, f.now) == Approx(admitted.burst - 600).margin(60));
}

// Guards against a lower limit that takes effect only when the former bucket
// has been used up.
TEST_CASE("a lowered limit cuts the level at once")
{
    fixture f;
    f.wait(seconds(12));
    CHECK(f.table.level(1, f.now) == Approx(admitted.burst));
    f.table.on_sent(1, 100, f.now);
    f.table.set_limits({{1, {10, 20, false, 0}}}, f.now);
    limit const lowered{10, 20, false, 0};
    CHECK(f.table.level(1, f.now) == Approx(admitted_limit(lowered).burst));
    f.table.set_limits({}, f.now);
    CHECK_FALSE(f.table.enabled());
    CHECK(f.admits(1e9));
}

// Guards against a router that uses the whole limit although others that it
// does not hear use it, too.
TEST_CASE("a router uses the share of the routers that it hears")
{
    fixture f;
    f.table.set_reported_routers(4);
    f.wait(seconds(12));
    auto const& routers = f.table.routers();
    CHECK(routers.share(f.now) == Approx(0.25));
    auto const alive = [&](std::uint64_t router, std::uint64_t start)
    {
        f.table.on_fact(
            {wire::fact_kind::process_alive, router, start, 1, 1, {}}, f.now);
    };
    alive(11, 1);
    alive(12, 1);
    alive(13, 1);
    CHECK(routers.share(f.now) == Approx(1));
    // One of them has restarted; it is no further router.
    alive(13, 2);
    CHECK(routers.known(f.now) == 4);
    f.wait(milliseconds(1700));
    CHECK(routers.share(f.now) == Approx(0.25));
}

// Guards against reports that grow with the number of workspaces.
TEST_CASE("a report is bounded and has the largest uses first")
{
    fixture f;
    limits_by_workspace limits;
    constexpr std::size_t workspaces = 1000;
    for (std::size_t n = 1; n <= workspaces; ++n)
        limits[n] = some_limit;
    f.table.set_limits(limits, f.now);
    for (std::size_t n = 1; n <= workspaces; ++n)
        f.table.on_sent(n, 500 + static_cast<double>(n), f.now);
    std::size_t stated = 0;
    double smallest = 1e9;
    for (int n = 0; n < 5; ++n)
    {
        f.now += milliseconds(100);
        std::size_t uses = 0;
        auto largest = 0.0;
        auto least = smallest;
        for (auto const& it : f.table.tick(f.now))
        {
            if (it.kind != wire::fact_kind::workspace_use)
                continue;
            ++uses;
            largest = std::max(largest, it.value);
            least = std::min(least, it.value);
        }
        CHECK(uses <= quota_table::max_reported);
        CHECK(largest <= smallest);
        smallest = least;
        stated += uses;
    }
    CHECK(stated == workspaces);
}

} // namespace endiveward::quota
