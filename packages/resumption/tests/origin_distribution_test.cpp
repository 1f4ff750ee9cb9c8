#include "resumption/origin_distribution.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

namespace endiveward::resumption
{

namespace
{

kernel::steady_time const start{};

wire::stream_origin origin(std::uint64_t stream)
{
    return {stream, kernel::service_id("s"), kernel::software_version("v1"),
            std::chrono::seconds(30)};
}

kernel::process_id agent(unsigned number)
{
    return kernel::process_id("agent-" + std::to_string(number));
}

/// Agents that keep what they are sent, and lose it when they restart.
class fake_agents
{
public:
    void deliver(origin_distribution::parcels const& parcels)
    {
        for (auto const& [name, news] : parcels)
        {
            for (auto const& it : news.origins)
                kept_[name].insert(it.stream);
            sent_ += news.origins.size();
        }
    }

    void restart(kernel::process_id const& name) { kept_.erase(name); }

    bool keeps(kernel::process_id const& name, std::uint64_t stream)
    {
        return kept_[name].contains(stream);
    }

    std::size_t sent() const { return sent_; }

private:
    std::map<kernel::process_id, std::set<std::uint64_t>> kept_;
    std::size_t sent_ = 0;
};

} // namespace

// Load pattern: agents end, restart empty and come at random while a router
// begins streams. Guards against streams that their keepers do not know.
TEST_CASE("each keeper knows all streams of the router at any time")
{
    std::mt19937 random(GENERATE(1U, 2U, 3U, 4U, 5U));
    origin_distribution router;
    fake_agents agents;
    std::set<unsigned> connected;
    std::uint64_t streams = 0;
    for (int step = 0; step < 400; ++step)
    {
        auto const n = static_cast<unsigned>(random() % 12);
        if (connected.erase(n) > 0)
        {
            agents.deliver(router.remove_agent(agent(n), start));
            if (random() % 2 == 0)
                agents.restart(agent(n));
        }
        else
        {
            connected.insert(n);
            agents.deliver(router.add_agent(agent(n), start));
        }
        for (int more = 0; more < 5; ++more)
            agents.deliver(router.add({{origin(++streams)}}, start));
        for (std::uint64_t it = 1; it <= streams; ++it)
        {
            auto const keepers = router.keepers_of(it);
            REQUIRE(keepers.size() ==
                    std::min<std::size_t>(3, connected.size()));
            for (auto const& keeper : keepers)
                REQUIRE(agents.keeps(keeper, it));
        }
    }
}

// Guards against routers that ask other agents than those that were told.
TEST_CASE("routers with nearly the same agents choose the same keepers")
{
    origin_distribution first;
    origin_distribution second;
    for (unsigned n = 0; n < 180; ++n)
    {
        first.add_agent(agent(n), start);
        // Connected in another order, and without one of the agents.
        if (n != 90)
            second.add_agent(agent(179 - n), start);
    }
    second.remove_agent(agent(0), start);
    for (std::uint64_t stream = 0; stream < 64; ++stream)
    {
        auto const a = first.keepers_of(stream);
        auto const b = second.keepers_of(stream);
        auto const common = std::count_if(
            a.begin(), a.end(),
            [&](auto const& it)
            { return std::find(b.begin(), b.end(), it) != b.end(); });
        CHECK(common >= 1);
    }
}

// Load pattern: one of 180 agents restarts. Guards against a cost that grows
// with all streams of all routers.
TEST_CASE("a restarted agent is sent its share of the streams only")
{
    origin_distribution router;
    fake_agents agents;
    for (unsigned n = 0; n < 180; ++n)
        router.add_agent(agent(n), start);
    constexpr std::uint64_t streams = 3000;
    for (std::uint64_t n = 0; n < streams; ++n)
        agents.deliver(router.add({{origin(n)}}, start));
    CHECK(agents.sent() == 3 * streams);
    agents.deliver(router.remove_agent(agent(7), start));
    agents.deliver(router.add_agent(agent(7), start));
    // Twice three of 180 agents' shares are expected; a group is a 64th.
    CHECK(agents.sent() - 3 * streams <= streams / 4);
}

TEST_CASE("expired streams are not sent again")
{
    origin_distribution router;
    router.add({{origin(1)}}, start);
    CHECK(router.add_agent(agent(1), start).size() == 1);
    router.remove_agent(agent(1), start);
    CHECK(router.add_agent(agent(1), start + std::chrono::seconds(30)).empty());
}

} // namespace endiveward::resumption
