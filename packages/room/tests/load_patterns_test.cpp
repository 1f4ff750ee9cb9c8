#include "support/fleet_replay.hpp"

#include <catch2/catch.hpp>

#include <numbers>
#include <sstream>
#include <string>

namespace endiveward::room
{

namespace
{

using std::chrono::seconds;

constexpr std::size_t fleet_size = 12;
constexpr std::uint64_t workspaces = 8;
/// Of what the engines process, on a usual day.
constexpr double usual_share = 0.75;

using arrivals = std::vector<fleet_replay::arrival>;

/// Requests of deployment E: 59 long streams for 205 short ones.
struct mixed_load
{
    explicit mixed_load(fleet_replay const& fleet)
        : tokens_per_step(fleet.tokens_per_step())
    {
    }

    fleet_replay::arrival make()
    {
        auto const is_long = random() % (59 + 205) < 59;
        return {is_long ? long_stream : short_stream, random() % workspaces,
                random() % fleet_replay::zones};
    }

    /// Random arrivals whose work is this share of what the engines process, in
    /// groups that reach one zone.
    arrivals operator()(double share, int group = 1)
    {
        constexpr double mean_work = (59.0 * 6610 + 205 * 1800) / (59 + 205);
        std::poisson_distribution<int> count(share * tokens_per_step /
                                             mean_work / group);
        arrivals res;
        for (int n = count(random); n > 0; --n)
        {
            auto const zone = random() % fleet_replay::zones;
            for (int k = 0; k < group; ++k)
            {
                res.push_back(make());
                res.back().zone = zone;
            }
        }
        return res;
    }

    double tokens_per_step;
    std::mt19937_64 random{7};
};

std::string describe(fleet_replay const& it)
{
    auto const all = it.total();
    auto const of_short = it.of_short();
    std::ostringstream res;
    res << "in time " << all.in_time << " late " << all.late << " refused "
        << all.refused << " rejected " << all.rejected_by_engine << " value "
        << all.value() / all.all() << " short " << of_short.in_time << " "
        << of_short.late << " " << of_short.refused << " waiting "
        << it.most_waiting() << "\n";
    return res.str();
}

/// Returns the fleet after the replay, without and with a waiting room.
template <typename Replay>
std::pair<fleet_replay, fleet_replay> compare(Replay replay,
                                              std::size_t routers = 8,
                                              std::size_t engines = fleet_size)
{
    std::pair res{fleet_replay(routers, engines, false),
                  fleet_replay(routers, engines, true)};
    for (auto* const it : {&res.first, &res.second})
    {
        replay(*it);
        // Those that were refused return.
        it->run(seconds(10), [](milliseconds) { return arrivals(); });
    }
    return res;
}

} // namespace

// Guards against a quiet day that is served worse because of the room.
TEST_CASE("nothing waits or is refused on a quiet day")
{
    auto const [without, with] = compare(
        [](fleet_replay& it)
        {
            mixed_load load(it);
            it.run(seconds(20),
                   [&](milliseconds) { return load(usual_share); });
        });
    INFO(describe(without) << describe(with));
    CHECK(with.total().refused == 0);
    CHECK(with.total().value() >= 0.998 * without.total().value());
}

// Load pattern: 1.7 times the load on all. Without the room short streams are
// refused because long ones with more time fill the engines' queues, and
// engines reject requests for which they have no memory.
TEST_CASE("more is served at 1.7 times the load")
{
    auto const [without, with] = compare(
        [](fleet_replay& it)
        {
            mixed_load load(it);
            it.run(seconds(20),
                   [&](milliseconds) { return load(1.7 * usual_share); });
        });
    INFO(describe(without) << describe(with));
    CHECK(with.total().value() > 1.05 * without.total().value());
    CHECK(with.total().in_time > without.total().in_time);
    CHECK(3 * with.of_short().refused < 2 * without.of_short().refused);
    CHECK(4 * with.total().rejected_by_engine <
          without.total().rejected_by_engine);
    CHECK(with.most_waiting() < room_settings().max_waiting);
    CHECK(with.longest_retry_after() <= seconds(5));
}

// Load pattern: bursts of 2.4 times the load for 6 s.
TEST_CASE("a burst is served with fewer refusals")
{
    auto const [without, with] = compare(
        [](fleet_replay& it)
        {
            mixed_load load(it);
            it.run(seconds(24),
                   [&](milliseconds now)
                   {
                       auto const burst = now % seconds(12) >= seconds(6);
                       return load((burst ? 2.4 : 1) * 0.6);
                   });
        });
    INFO(describe(without) << describe(with));
    CHECK(with.total().value() > without.total().value());
    CHECK(3 * with.of_short().refused < 2 * without.of_short().refused);
}

// Load pattern: requests arrive in groups of three at one zone.
TEST_CASE("groups of three wait for each other")
{
    auto const [without, with] = compare(
        [](fleet_replay& it)
        {
            mixed_load load(it);
            it.run(seconds(20), [&](milliseconds) { return load(1.15, 3); });
        });
    INFO(describe(without) << describe(with));
    CHECK(with.total().value() > without.total().value());
    CHECK(with.of_short().refused < without.of_short().refused);
}

// Load pattern: the load of four zones rises and falls in turn.
TEST_CASE("waves of different phase in four zones are served")
{
    auto const [without, with] = compare(
        [](fleet_replay& it)
        {
            mixed_load load(it);
            it.run(seconds(24),
                   [&](milliseconds now)
                   {
                       arrivals res;
                       for (std::size_t zone = 0; zone < 4; ++zone)
                       {
                           auto const phase =
                               2 * std::numbers::pi *
                               (std::chrono::duration<double>(now).count() / 8 +
                                static_cast<double>(zone) / 4);
                           for (auto& a :
                                load((1 + 0.7 * std::sin(phase)) * 1.1 / 4))
                           {
                               a.zone = zone;
                               res.push_back(a);
                           }
                       }
                       return res;
                   });
        });
    INFO(describe(without) << describe(with));
    CHECK(with.total().value() > without.total().value());
    CHECK(with.of_short().refused < without.of_short().refused);
}

// Load pattern: 25 % of the engines are down for 16 s.
TEST_CASE("a quarter of the engines is down")
{
    auto const [without, with] = compare(
        [](fleet_replay& it)
        {
            mixed_load load(it);
            it.run(
                seconds(20), [&](milliseconds) { return load(0.85); },
                [&](milliseconds now)
                {
                    for (std::size_t k = 0; k < fleet_size / 4; ++k)
                        it.set_available(k, now < seconds(2) ||
                                                now >= seconds(18));
                });
        });
    INFO(describe(without) << describe(with));
    CHECK(with.total().value() > without.total().value());
    CHECK(with.of_short().refused < without.of_short().refused);
}

// Load pattern: callers of one workspace send 7.5 times their usual load.
// Guards against other workspaces that lose capacity to it.
TEST_CASE("no workspace is starved by one with many times its load")
{
    auto const [without, with] = compare(
        [](fleet_replay& it)
        {
            mixed_load load(it);
            it.run(seconds(20),
                   [&](milliseconds)
                   {
                       auto res = load(usual_share);
                       for (auto& a : load(usual_share * 7.5 / workspaces))
                       {
                           a.workspace = 0;
                           res.push_back(a);
                       }
                       return res;
                   });
        });
    INFO(describe(without) << describe(with));
    auto fleet = with;
    auto const all = fleet.total();
    for (std::uint64_t n = 0; n < workspaces; ++n)
    {
        CAPTURE(n, fleet.of_workspace(n).served_share());
        CHECK(fleet.of_workspace(n).served_share() > all.served_share() / 4);
        if (n > 0)
            CHECK(fleet.of_workspace(n).served_share() >
                  fleet.of_workspace(0).served_share());
    }
}

// Load pattern: a burst of prompts of 54,600 tokens fills the engines' memory
// and queues.
TEST_CASE("a burst of long prompts does not hold up short ones")
{
    auto longest = long_stream;
    longest.work = 48000;
    longest.memory = 55000;
    auto const [without, with] = compare(
        [&](fleet_replay& it)
        {
            mixed_load load(it);
            it.run(seconds(12),
                   [&](milliseconds now)
                   {
                       auto res = load(0.5);
                       if (now >= seconds(2) && now < seconds(6) &&
                           now.count() % 100 == 0)
                           res.push_back({longest, 3, load.random() % 4});
                       return res;
                   });
        });
    INFO(describe(without) << describe(with));
    CHECK(with.of_short().value() > without.of_short().value());
    CHECK(with.total().value() > without.total().value());
}

// Load pattern: callers of one workspace return at once, again and again, after
// each refusal. Guards against other workspaces that pay for it.
TEST_CASE("abusive retries of one workspace do not starve the others")
{
    auto const [without, with] = compare(
        [](fleet_replay& it)
        {
            mixed_load load(it);
            it.run(seconds(20),
                   [&](milliseconds)
                   {
                       auto res = load(1.2);
                       for (auto& a : res)
                       {
                           a.abusive = a.workspace == 0;
                           a.returns = a.abusive ? 20 : 1;
                       }
                       return res;
                   });
        });
    auto const others = [](fleet_replay fleet)
    {
        replay_result res;
        for (std::uint64_t n = 1; n < workspaces; ++n)
        {
            res.in_time += fleet.of_workspace(n).in_time;
            res.late += fleet.of_workspace(n).late;
            res.refused += fleet.of_workspace(n).refused;
        }
        return res;
    };
    INFO(describe(without) << describe(with));
    CHECK(others(with).value() > 1.02 * others(without).value());
    CHECK(others(with).refused < others(without).refused);
    CHECK(with.total().value() > without.total().value());
}

// Load pattern: all routers are killed together and restart without knowing the
// engines' load. Callers that were cut off return together.
TEST_CASE("routers that restart together do not overload engines")
{
    auto const [without, with] = compare(
        [](fleet_replay& it)
        {
            mixed_load load(it);
            it.run(seconds(5), [&](milliseconds) { return load(0.9); });
            it.restart();
            // Callers that found no router for a second return within 200 ms.
            it.run(milliseconds(200), [&](milliseconds) { return load(5.4); });
            it.run(seconds(4), [&](milliseconds) { return load(0.9); });
        },
        28, 24);
    INFO(describe(without) << describe(with));
    CHECK(with.total().value() > without.total().value());
    CHECK(with.total().rejected_by_engine < without.total().rejected_by_engine);
    CHECK(with.of_short().refused < without.of_short().refused);
}

} // namespace endiveward::room
