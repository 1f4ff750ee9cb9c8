#include "availability/part_quarantine.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <set>

namespace endiveward::availability
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using part_keys = std::vector<part_quarantine::part_key>;

constexpr kernel::steady_time start{seconds(1000)};
constexpr part_quarantine::part_key system_part = 1;
constexpr part_quarantine::part_key bad_part = 2;
constexpr part_quarantine::part_key other_part = 3;

/// Settings with which a quarantine ends at the same time in all processes.
quarantine_settings without_spread()
{
    quarantine_settings res;
    res.return_spread = milliseconds(0);
    return res;
}

/// Crashes of two endpoints, a second apart, under the same parts.
part_quarantine after_two_crashes(part_keys const& parts)
{
    part_quarantine res(without_spread());
    res.on_crash(1, parts, start);
    res.on_crash(2, parts, start + seconds(1));
    return res;
}

} // namespace

// Guards against requests of one kind that crash endpoints one after the other.
TEST_CASE("a part is quarantined after it was at two endpoints that crashed")
{
    part_quarantine quarantine(without_spread());
    CHECK(quarantine.on_crash(1, {bad_part}, start).size() == 1);
    CHECK_FALSE(quarantine.quarantined_until({bad_part}, start));
    // Another request that ended with the same endpoint.
    CHECK(quarantine.on_crash(1, {bad_part}, start).empty());
    CHECK_FALSE(quarantine.quarantined_until({bad_part}, start));
    auto const added =
        quarantine.on_crash(2, {bad_part}, start + milliseconds(300));
    REQUIRE(added.size() == 1);
    CHECK(added[0].crashes == 2);
    CHECK(added[0].quarantine == seconds(15));
    CHECK(quarantine.quarantined_until({system_part, bad_part},
                                       start + seconds(1)) ==
          start + milliseconds(15300));
    CHECK_FALSE(
        quarantine.quarantined_until({system_part}, start + seconds(1)));
}

// Guards against sound requests that are refused because they share parts with
// those that were at the endpoint.
TEST_CASE("a part that was served shortly before a crash is not suspected")
{
    part_quarantine quarantine;
    quarantine.on_served({system_part}, start);
    quarantine.on_crash(1, {system_part, bad_part}, start + seconds(1));
    quarantine.on_crash(2, {system_part, bad_part}, start + seconds(10));
    CHECK_FALSE(
        quarantine.quarantined_until({system_part}, start + seconds(10)));
    CHECK(quarantine.quarantined_until({bad_part}, start + seconds(10)));
    // One that was sound in the past may have become a cause.
    quarantine.on_crash(3, {system_part}, start + seconds(20));
    quarantine.on_crash(4, {system_part}, start + seconds(21));
    CHECK(quarantine.quarantined_until({system_part}, start + seconds(21)));
}

TEST_CASE("a part that is served is no longer suspected")
{
    auto quarantine = after_two_crashes({bad_part});
    quarantine.take_news();
    CHECK(quarantine.on_served({bad_part}, start + seconds(2)) == 1);
    CHECK_FALSE(quarantine.quarantined_until({bad_part}, start + seconds(2)));
    CHECK(quarantine.take_news().served_parts == part_keys{bad_part});
    CHECK(quarantine.suspects() == 0);
}

// Guards against a caller all of whose requests are refused: where nothing else
// is known of a part, that of all its requests is at each crash, too.
TEST_CASE("an earlier part is not quarantined while a later one explains it")
{
    auto quarantine = after_two_crashes({system_part, bad_part});
    auto const now = start + seconds(2);
    CHECK_FALSE(quarantine.quarantined_until({system_part}, now));
    CHECK_FALSE(quarantine.quarantined_until({system_part, other_part}, now));
    CHECK(quarantine.quarantined_until({system_part, bad_part}, now));
    // A sound request tries nothing.
    CHECK_FALSE(quarantine.on_sent({system_part, other_part}, now));
    // A sound part that was at two of three crashes by chance.
    quarantine.on_crash(1, {other_part + 1, other_part}, now);
    quarantine.on_crash(2, {other_part + 1, other_part}, now);
    quarantine.on_crash(4, {system_part, bad_part}, now);
    CHECK_FALSE(quarantine.quarantined_until({system_part, other_part}, now));
    // A crash without the later part.
    quarantine.on_crash(3, {system_part, other_part}, now);
    CHECK(quarantine.quarantined_until({system_part}, now));
}

// Guards against resets and lost answers that are taken for crashes.
TEST_CASE("an endpoint that goes on sending has not crashed")
{
    auto quarantine = after_two_crashes({bad_part});
    auto const crash = start + seconds(1);
    CHECK(quarantine.has_open_crashes(crash + seconds(1)));
    CHECK_FALSE(quarantine.has_open_crashes(crash + milliseconds(1001)));
    // These bytes may have been on their way.
    CHECK_FALSE(quarantine.on_endpoint_active(2, crash + milliseconds(20)));
    CHECK(quarantine.quarantined_until({bad_part}, crash));
    CHECK(quarantine.on_endpoint_active(2, crash + milliseconds(200)));
    CHECK_FALSE(quarantine.quarantined_until({bad_part}, crash));
    // Reports of the same crash that arrive later.
    CHECK(quarantine
              .on_report({{{bad_part, 2, 0, milliseconds(300)}}, {}, {}, {}},
                         crash + milliseconds(300))
              .empty());
    // The next incarnation may be meant.
    CHECK_FALSE(quarantine.on_endpoint_active(1, start + seconds(3)));
}

// Guards against a part that can never be used again, and against one that
// crashes an endpoint every few seconds.
TEST_CASE("a quarantine ends, and grows with each further crash")
{
    auto quarantine = after_two_crashes({bad_part});
    auto now = start + seconds(17);
    CHECK_FALSE(quarantine.quarantined_until({bad_part}, now));
    quarantine.on_crash(3, {bad_part}, now);
    CHECK(quarantine.quarantined_until({bad_part}, now) == now + seconds(120));
    now += seconds(121);
    CHECK_FALSE(quarantine.quarantined_until({bad_part}, now));
    quarantine.on_crash(4, {bad_part}, now);
    CHECK(quarantine.quarantined_until({bad_part}, now) == now + seconds(600));
    // In the end nothing is left of it.
    now += seconds(1201);
    quarantine.on_crash(5, {}, now);
    CHECK(quarantine.suspects() == 0);
}

// Guards against requests that return when a quarantine ends and crash one
// endpoint each.
TEST_CASE("one request tries a part after its quarantine")
{
    auto quarantine = after_two_crashes({bad_part});
    auto other = after_two_crashes({bad_part});
    quarantine.take_news();
    auto const now = start + seconds(17);
    REQUIRE_FALSE(quarantine.quarantined_until({bad_part}, now));
    CHECK(quarantine.on_sent({bad_part}, now));
    CHECK(quarantine.quarantined_until({bad_part}, now) == now + seconds(5));
    other.on_report(quarantine.take_news(), now);
    CHECK(other.quarantined_until({bad_part}, now));
    // Without a result, another one is sent.
    CHECK_FALSE(quarantine.quarantined_until({bad_part}, now + seconds(5)));
    quarantine.on_sent({bad_part}, now + seconds(5));
    quarantine.on_served({bad_part}, now + seconds(6));
    CHECK_FALSE(quarantine.quarantined_until({bad_part}, now + seconds(6)));
    CHECK_FALSE(quarantine.on_sent({bad_part}, now + seconds(6)));
}

TEST_CASE("processes end a quarantine at different times")
{
    std::set<kernel::steady_time> ends;
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        part_quarantine quarantine({}, seed * 1000003);
        quarantine.on_crash(1, {bad_part}, start);
        quarantine.on_crash(2, {bad_part}, start);
        auto const end = quarantine.quarantined_until({bad_part}, start);
        REQUIRE(end);
        CHECK(*end >= start + seconds(15));
        CHECK(*end <= start + seconds(30));
        ends.insert(*end);
    }
    CHECK(ends.size() > 30);
}

// Guards against a process that sees none of the crashes, or has just started.
TEST_CASE("crashes that other processes report count like own ones")
{
    part_quarantine first;
    part_quarantine second;
    first.on_crash(1, {system_part, bad_part}, start);
    second.on_crash(2, {bad_part}, start);
    second.on_report(first.take_news(), start + milliseconds(100));
    CHECK(second.quarantined_until({bad_part}, start + milliseconds(100)));
    // The same report by way of another process.
    CHECK(second
              .on_report(first.snapshot(start + milliseconds(100)),
                         start + milliseconds(100))
              .empty());
    // What is known already is not news.
    CHECK(second.take_news().crashes.size() == 1);
    part_quarantine third;
    third.on_report(second.snapshot(start + seconds(5)), start + seconds(5));
    CHECK(third.quarantined_until({bad_part}, start + seconds(5)) ==
          second.quarantined_until({bad_part}, start + seconds(5)));
}

// Guards against suspicions that processes give back to each other.
TEST_CASE("a process that serves a reported part tells the others")
{
    part_quarantine first;
    part_quarantine second;
    second.on_served({system_part}, start);
    first.on_crash(1, {system_part}, start + seconds(1));
    first.on_crash(2, {system_part}, start + seconds(1));
    auto const report = first.take_news();
    second.on_report(report, start + seconds(1));
    CHECK(second.suspects() == 0);
    first.on_report(second.take_news(), start + seconds(1));
    CHECK(first.suspects() == 0);
    // The first report arrives again, by way of another process.
    first.on_report(report, start + seconds(1));
    CHECK(first.suspects() == 0);
}

// Load pattern: many engines crash together, each under requests with parts
// that were never served. Guards against a quarantine that stops to work after
// it.
TEST_CASE("a part is suspected although many others are")
{
    part_quarantine quarantine(without_spread());
    quarantine.on_crash(1, {bad_part}, start);
    quarantine.on_crash(2, {bad_part}, start);
    for (std::uint64_t n = 0; n < 5000; ++n)
        quarantine.on_crash(3, {1000 + n}, start + milliseconds(n));
    auto const now = start + seconds(6);
    CHECK(quarantine.quarantined_until({bad_part}, now));
    quarantine.on_crash(4, {other_part}, now);
    quarantine.on_crash(5, {other_part}, now);
    CHECK(quarantine.quarantined_until({other_part}, now));
}

// Guards against memory that grows with the number of crashes and parts.
TEST_CASE("what is remembered is bounded")
{
    quarantine_settings settings;
    part_quarantine quarantine(settings);
    for (std::uint64_t n = 0; n < 20000; ++n)
        quarantine.on_crash(n, {n, bad_part}, start);
    CHECK(quarantine.suspects() <= settings.max_suspects);
    CHECK(quarantine.snapshot(start).crashes.size() <=
          settings.max_suspects + settings.max_crashes_per_part);
    for (std::uint64_t n = 0; n < 20000; ++n)
        quarantine.on_served({n + 100000}, start);
    CHECK(quarantine.quarantined_until({bad_part}, start));
}

namespace
{

struct outcome
{
    int crashes = 0;
    int sound = 0;
    int sound_refused = 0;
};

/// Replays a load on routers that exchange their news within 50 ms: 20 requests
/// a second, of which a twentieth have a part that crashes the engine 300 ms
/// later. Each request has the caller's part, one of a few shared parts and one
/// of its own. Those that are refused for the part come back when they are told
/// to.
outcome replay(unsigned seed, std::size_t routers,
               quarantine_settings settings = {})
{
    struct running
    {
        kernel::steady_time ends;
        std::size_t router;
        std::uint64_t engine;
        bool bad;
        part_keys parts;
    };
    std::mt19937 random(seed);
    std::vector<part_quarantine> all;
    for (std::size_t n = 0; n < routers; ++n)
        all.emplace_back(settings, random());
    std::vector<std::uint64_t> incarnations(9, 1);
    struct refusal
    {
        kernel::steady_time at;
        running request;
    };
    std::deque<running> in_flight;
    std::vector<refusal> returning;
    outcome res;
    auto const crash_key = [&](std::uint64_t engine)
    { return engine * 1000 + incarnations[engine]; };
    for (int n = 0; n < 1000; ++n)
    {
        auto const now = start + n * milliseconds(50);
        while (!in_flight.empty() && in_flight.front().ends <= now)
        {
            auto const it = in_flight.front();
            in_flight.pop_front();
            if (!it.bad)
            {
                all[it.router].on_served(it.parts, now);
                continue;
            }
            ++res.crashes;
            auto const crash = crash_key(it.engine);
            all[it.router].on_crash(crash, it.parts, now);
            for (auto const& other : in_flight)
            {
                if (other.engine == it.engine)
                    all[other.router].on_crash(crash, other.parts, now);
            }
            std::erase_if(in_flight, [&](auto const& other)
                          { return other.engine == it.engine; });
            ++incarnations[it.engine];
        }
        for (auto& from : all)
        {
            auto const news = from.take_news();
            for (auto& to : all)
                if (&to != &from)
                    to.on_report(news, now);
        }
        running next{now + milliseconds(300),
                     random() % routers,
                     random() % 9,
                     n > 100 && random() % 20 == 0,
                     {}};
        auto const tenant = 100 + random() % 8;
        next.parts = {tenant, next.bad ? bad_part : 200 + random() % 12,
                      1000 + static_cast<std::uint64_t>(n)};
        auto const until = all[next.router].quarantined_until(next.parts, now);
        auto const refused = until.has_value();
        if (!next.bad)
            ++res.sound;
        if (refused && !next.bad)
            ++res.sound_refused;
        if (refused && next.bad)
            returning.push_back({*until, next});
        if (refused)
            continue;
        all[next.router].on_sent(next.parts, now);
        in_flight.push_back(next);
        for (auto& it : returning)
        {
            if (it.at > now)
                continue;
            it.at = kernel::steady_time::max();
            it.request.ends = now + milliseconds(300);
            auto& router = all[it.request.router];
            if (router.quarantined_until(it.request.parts, now))
                continue;
            router.on_sent(it.request.parts, now);
            in_flight.push_back(it.request);
        }
    }
    return res;
}

} // namespace

// Load pattern: one request a second has a part that crashes its engine, at any
// of several routers. Guards against more than five crashes, and against sound
// requests that are refused.
TEST_CASE("few engines crash under a part and sound requests are served")
{
    auto const routers =
        GENERATE(std::size_t{1}, std::size_t{4}, std::size_t{40});
    for (unsigned seed = 1; seed <= 50; ++seed)
    {
        auto const res = replay(seed, routers);
        CAPTURE(routers, seed, res.crashes, res.sound, res.sound_refused);
        CHECK(res.crashes <= 5);
        CHECK(res.sound_refused * 50 <= res.sound);
    }
}

// Planted faults that the replay must detect.
TEST_CASE("the replay detects a quarantine that fails")
{
    quarantine_settings late;
    late.min_crashes = 100;
    CHECK(replay(1, 4, late).crashes > 5);
    quarantine_settings brief;
    brief.max_duration = milliseconds(500);
    CHECK(replay(1, 4, brief).crashes > 5);
    // All that come back at the end of a quarantine are sent.
    quarantine_settings all_at_once;
    all_at_once.return_spread = milliseconds(0);
    all_at_once.trial_time = milliseconds(0);
    CHECK(replay(1, 4, all_at_once).crashes > 5);
}

// Guards against a request that comes again and again, and against sound
// requests with the same parts, or at the same crashes, that are refused for
// it.
TEST_CASE("a whole request is quarantined after two crashes")
{
    part_quarantine quarantine(without_spread());
    request_keys const bad({system_part, other_part}, bad_part);
    request_keys const sound({system_part, other_part}, bad_part + 100);
    quarantine.on_served(sound, start - seconds(1));
    quarantine.on_crash(1, bad, start);
    auto const added = quarantine.on_crash(2, bad, start + seconds(1));
    CHECK(std::any_of(added.begin(), added.end(),
                      [](auto const& it)
                      { return it.whole_request && it.part == bad_part; }));
    auto const now = start + seconds(2);
    CHECK(quarantine.quarantined_until(bad, now));
    CHECK(quarantine.quarantined_until({{}, bad_part}, now));
    CHECK_FALSE(quarantine.quarantined_until(sound, now));
}

// Guards against sound requests that are refused because they were retried
// together with the one that crashes endpoints.
TEST_CASE("whole requests at the same crashes are told apart by the next one")
{
    part_quarantine quarantine(without_spread());
    request_keys const bad({}, bad_part);
    request_keys const victim({}, other_part);
    for (part_quarantine::crash_key const crash : {1, 2})
    {
        quarantine.on_crash(crash, bad, start);
        quarantine.on_crash(crash, victim, start);
    }
    auto const now = start + seconds(1);
    CHECK_FALSE(quarantine.quarantined_until(bad, now));
    CHECK_FALSE(quarantine.quarantined_until(victim, now));
    SECTION("one of them crashes another endpoint")
    {
        quarantine.on_crash(3, bad, now);
        CHECK(quarantine.quarantined_until(bad, now));
        CHECK_FALSE(quarantine.quarantined_until(victim, now));
    }
    SECTION("one of them is answered")
    {
        quarantine.on_served(victim, now);
        CHECK(quarantine.quarantined_until(bad, now));
    }
    SECTION("both are at the next crash, too")
    {
        quarantine.on_crash(3, bad, now);
        quarantine.on_crash(3, victim, now);
        CHECK(quarantine.quarantined_until(bad, now));
        CHECK(quarantine.quarantined_until(victim, now));
    }
}

// Guards against a crash that is not seen as one of the request because it was
// given up as silent before, and sent to another endpoint.
TEST_CASE("a request that was given up shortly before a crash is suspected")
{
    part_quarantine quarantine(without_spread());
    request_keys const bad({}, bad_part);
    CHECK(quarantine.on_abandoned(1, bad, start).empty());
    CHECK(quarantine.suspects() == 0);
    SECTION("another request sees the crash")
    {
        auto const added =
            quarantine.on_crash(1, {other_part}, start + milliseconds(60));
        CHECK(added.size() == 2);
    }
    SECTION("the endpoint takes no connections any more")
    {
        CHECK(quarantine.on_unreachable(1, start + milliseconds(60)).size() ==
              1);
        CHECK(quarantine.on_unreachable(2, start + milliseconds(60)).empty());
    }
    SECTION("another process reports the crash")
    {
        wire::part_report report;
        report.crashes = {{other_part, 1, 0, milliseconds(10)}};
        CHECK(quarantine.on_report(report, start + milliseconds(80)).size() ==
              2);
        auto const news = quarantine.take_news();
        REQUIRE(news.crashes.size() == 1);
        CHECK(news.crashes[0].part == bad_part);
    }
    SECTION("it is given up just after the crash")
    {
        quarantine.on_crash(3, {other_part}, start + milliseconds(60));
        CHECK(
            quarantine.on_abandoned(3, bad, start + milliseconds(90)).size() ==
            1);
    }
    quarantine.on_crash(9, bad, start + milliseconds(200));
    CHECK(quarantine.quarantined_until(bad, start + milliseconds(300)));
}

// Guards against sound requests that are suspected of a crash long after they
// were given up, or of one of another endpoint.
TEST_CASE("a request that was given up long before a crash is not suspected")
{
    part_quarantine quarantine(without_spread());
    request_keys const sound({}, other_part);
    quarantine.on_abandoned(1, sound, start);
    quarantine.on_crash(2, {bad_part}, start + milliseconds(100));
    quarantine.on_crash(1, {bad_part}, start + milliseconds(1100));
    quarantine.on_crash(4, sound, start + milliseconds(1200));
    CHECK_FALSE(
        quarantine.quarantined_until(sound, start + milliseconds(1300)));
}

} // namespace endiveward::availability
