#include "config/config_distribution.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace endiveward;
using config::distribution_member;
using role = config::distribution_member::role;

namespace
{

std::vector<distribution_member> make_members(std::size_t routers,
                                              std::size_t agents)
{
    std::vector<distribution_member> res;
    for (std::size_t i = 0; i < routers; ++i)
        res.push_back({kernel::process_id("router-" + std::to_string(i)),
                       role::router, 0});
    for (std::size_t i = 0; i < agents; ++i)
        res.push_back(
            {kernel::process_id("agent-" + std::to_string(i)), role::agent, 0});
    return res;
}

/// Number of sends to each member when all routers know the version.
std::map<std::string, std::size_t>
count_sends(std::vector<distribution_member> const& members,
            kernel::config_version version)
{
    std::map<std::string, std::size_t> res;
    for (auto const& it : members)
        if (it.member_role == role::router)
            for (auto const& target :
                 config::config_distribution(it.id).targets(version, members))
                ++res[target.str()];
    return res;
}

} // namespace

TEST_CASE("each agent is updated by exactly two routers", "[distribution]")
{
    // Guards against an agent that nobody updates, and against every router
    // updating every agent.
    auto const routers = GENERATE(1U, 2U, 3U, 33U);
    auto const members = make_members(routers, 300);
    auto const pushes = count_sends(members, 1);
    for (auto const& it : members)
        if (it.member_role == role::agent)
            CHECK(pushes.at(it.id.str()) == std::min<std::size_t>(2, routers));
}

TEST_CASE("losing a router reassigns only its own agents", "[distribution]")
{
    // Guards against a ranking that reassigns other agents when membership
    // changes.
    auto const members = make_members(10, 100);
    std::vector<kernel::process_id> all;
    for (auto const& it : members)
        if (it.member_role == role::router)
            all.push_back(it.id);
    auto without = all;
    without.erase(without.begin());
    for (auto const& router : without)
        for (auto const& agent : members)
            if (agent.member_role == role::agent)
            {
                config::config_distribution const own(router);
                // A router keeps every agent that it had.
                if (own.pushes_to(agent.id, all))
                    CHECK(own.pushes_to(agent.id, without));
            }
}

TEST_CASE("members that are up to date are not updated", "[distribution]")
{
    // Guards against endless updates for a version that all members have.
    auto members = make_members(6, 6);
    members[1].version = 7;
    members[8].version = 7;
    auto const targets =
        config::config_distribution(members[0].id).targets(7, members);
    for (auto const& it : targets)
    {
        CHECK(it.str() != members[0].id.str());
        CHECK(it.str() != members[1].id.str());
        CHECK(it.str() != members[8].id.str());
    }
    for (auto& it : members)
        it.version = 8;
    CHECK(
        config::config_distribution(members[0].id).targets(7, members).empty());
}

TEST_CASE("gossip reaches every router in a few rounds", "[distribution]")
{
    // Guards against gossip that does not reach all routers. Rounds are
    // counted, not timed; the hashes make the result deterministic.
    auto members = make_members(330, 0);
    members[0].version = 1;
    std::size_t rounds = 0;
    auto const behind = [&]
    {
        return std::any_of(members.begin(), members.end(),
                           [](auto const& it) { return it.version == 0; });
    };
    while (behind() && rounds < 20)
    {
        std::set<std::string> notified;
        for (auto const& it : members)
        {
            if (it.version == 0)
                continue;
            auto const targets =
                config::config_distribution(it.id).targets(1, members);
            CHECK(targets.size() <= 4);
            for (auto const& target : targets)
                notified.insert(target.str());
        }
        for (auto& it : members)
            if (notified.contains(it.id.str()))
                it.version = 1;
        ++rounds;
    }
    CHECK(rounds <= 6);
}
