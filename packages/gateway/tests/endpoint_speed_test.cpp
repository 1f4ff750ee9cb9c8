#include "gateway/endpoint_speed.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <optional>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;
using duration = request_work::duration;

kernel::steady_time const start{std::chrono::seconds(100)};
/// The time between two answers of an engine to one of 28 routers.
constexpr milliseconds answer_interval{4000};

struct speed_fixture
{
    speed_fixture() { speed.enable(); }

    /// The endpoint answers at `true_speed` to a request with this work.
    void answer(double true_speed, std::optional<double> figure = 1,
                request_work const& work = {duration(30), duration(150)})
    {
        if (figure)
            speed.on_figure(*figure, now);
        speed.on_answer(work, work.total() / true_speed, now);
    }

    void answer_repeatedly(int n, double true_speed, double figure = 1)
    {
        for (int k = 0; k < n; ++k)
        {
            now += answer_interval;
            answer(true_speed, figure);
        }
    }

    double learned() const { return speed.learned(now); }
    double current() const { return speed.current(now); }

    endpoint_speed speed;
    kernel::steady_time now = start;
};

} // namespace

// Guards against changed choices where no endpoint names the fourth number.
TEST_CASE("the speed is nominal until it is enabled")
{
    endpoint_speed speed;
    speed.on_figure(2.5, start);
    CHECK_FALSE(
        speed.on_answer({duration(0), duration(100)}, duration(400), start));
    speed.on_shared(1, 0.5, start);
    CHECK(speed.learned(start) == 1);
    CHECK(speed.current(start) == 1);
    CHECK(speed.home_weight() == 1);
}

// Load pattern: engines of three speeds. Guards against equal estimates for
// unequal engines.
TEST_CASE("three speeds are learned from the times of answers")
{
    for (auto const true_speed : {0.5, 0.7, 1.7})
    {
        speed_fixture fixture;
        fixture.answer_repeatedly(10, true_speed);
        CHECK(std::abs(std::log(fixture.learned() / true_speed)) < 0.2);
    }
}

// Load pattern: a neighbor that is there for 600 ms at a time, for 15 % of the
// answers, and slows the engine down 2.5 times. Guards against a learned factor
// that follows the neighbor, and against an estimate that ignores it.
TEST_CASE("a neighbor takes effect at once and is not learned")
{
    speed_fixture fixture;
    for (int n = 0; n < 60; ++n)
    {
        fixture.now += answer_interval;
        auto const slow = n % 7 == 3;
        fixture.answer(slow ? 1 / 2.5 : 1, slow ? 2.5 : 1);
        if (n < 20)
            continue;
        CHECK(std::abs(std::log(fixture.learned())) < 0.3);
        if (!slow)
            continue;
        CHECK(fixture.current() < 0.55);
        CHECK(fixture.speed.current(fixture.now + milliseconds(1200)) > 0.75);
    }
}

// Load pattern: an endpoint that says 100 % and is slow. Guards against trust
// in the figure alone.
TEST_CASE("an endpoint that reports 100 and is slow is detected")
{
    speed_fixture fixture;
    fixture.answer_repeatedly(8, 1 / 2.5);
    CHECK(fixture.current() < 0.5);
}

// Load pattern: endpoints whose figure is always wrong. Guards against an
// estimate that believes it, both while the figure is fresh and when it is old.
TEST_CASE("a figure that is always wrong is corrected")
{
    auto const figure = GENERATE(2.5, 0.4);
    speed_fixture fixture;
    fixture.answer_repeatedly(60, 1, figure);
    CHECK(std::abs(std::log(fixture.current())) < 0.35);
    CHECK(std::abs(std::log(
              fixture.speed.current(fixture.now + milliseconds(2000)))) < 0.35);
}

TEST_CASE("one sample and all samples together have bounds")
{
    speed_fixture fixture;
    fixture.answer(1e-6);
    CHECK(fixture.learned() >= 0.5);
    fixture.answer_repeatedly(40, 1e-6);
    CHECK(fixture.learned() >= endpoint_speed::min_factor);
    fixture.answer_repeatedly(60, 1e9);
    CHECK(fixture.learned() <= endpoint_speed::max_factor);
    auto const inf = std::numeric_limits<double>::infinity();
    for (auto const bad : {0.0, -1.0, inf, std::nan("")})
    {
        auto const before = fixture.learned();
        fixture.speed.on_figure(bad, fixture.now);
        fixture.speed.on_shared(9, bad, fixture.now);
        CHECK(fixture.learned() == before);
    }
    CHECK(std::isfinite(fixture.current()));
}

// Guards against samples that measure only the network or other requests.
TEST_CASE("requests with little work of their own teach little")
{
    speed_fixture fixture;
    fixture.answer(0.5, 1, {duration(300), duration(5)});
    CHECK(fixture.learned() == 1);
    CHECK_FALSE(fixture.speed.own_factor());
    fixture.answer(0.5, 1, {duration(3000), duration(50)});
    CHECK(fixture.learned() > 0.95);
}

// Guards against an estimate that outlives its cause, and against endpoints
// that start with another speed than the service has.
TEST_CASE("without answers the factor returns to the mean of the service")
{
    speed_fixture fixture;
    fixture.answer_repeatedly(10, 0.5);
    fixture.speed.refresh(1.3, fixture.now);
    CHECK(fixture.learned() < 0.8);
    CHECK(fixture.speed.has_samples(fixture.now));
    fixture.now += std::chrono::seconds(60);
    CHECK(std::abs(fixture.learned() - 1.3) < 0.05);
    CHECK_FALSE(fixture.speed.has_samples(fixture.now));

    fixture.answer_repeatedly(10, 0.5);
    fixture.speed.reset();
    CHECK(std::abs(fixture.learned() - 1.3) < 1e-9);
    CHECK(fixture.speed.enabled());
}

// Load pattern: 28 routers, each of which sees few answers of an engine. Guards
// against estimates that rest on a router's own answers only.
TEST_CASE("what other processes have learned counts")
{
    speed_fixture fixture;
    for (std::uint64_t n = 1; n <= 27; ++n)
        fixture.speed.on_shared(n, 0.6, fixture.now);
    CHECK(std::abs(fixture.learned() - 0.6) < 0.02);
    // The same source counts once.
    speed_fixture single;
    for (int n = 0; n < 27; ++n)
        single.speed.on_shared(1, 0.6, single.now);
    CHECK(single.learned() > 0.65);
    // A bounded number of sources is kept.
    for (std::uint64_t n = 1; n <= 1000; ++n)
        single.speed.on_shared(n, 0.25, single.now);
    CHECK(single.learned() >= 0.25);
}

// Guards against homes that move with each sample.
TEST_CASE("the home weight changes only with a lasting change of speed")
{
    speed_fixture fixture;
    fixture.answer_repeatedly(10, 1.7);
    fixture.speed.refresh(1, fixture.now);
    int changes = 0;
    for (int n = 0; n < 100; ++n)
    {
        fixture.now += answer_interval;
        fixture.answer(n % 2 == 0 ? 1.6 : 1.8);
        if (fixture.speed.refresh(1, fixture.now))
            ++changes;
    }
    CHECK(changes <= 1);
    CHECK(fixture.speed.home_weight() > 1.4);
    fixture.answer_repeatedly(20, 0.5);
    CHECK(fixture.speed.refresh(1, fixture.now));
    CHECK(fixture.speed.home_weight() < 0.75);
}

} // namespace endiveward::gateway
