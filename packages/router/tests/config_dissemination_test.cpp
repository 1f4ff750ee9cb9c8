#include "router/config_dissemination.hpp"

#include "kernel/manual_clock.hpp"
#include "kernel/seeded_random_source.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

namespace endiveward::router
{

namespace
{

constexpr std::uint64_t seed = 7;

kernel::process_id router_name(int n)
{
    return kernel::process_id("router-" + std::to_string(n));
}

kernel::socket_address address_of(int n)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(9000 + n)};
}

wire::hello router_hello(int n, kernel::config_version version = 1,
                         std::string const& region = "east")
{
    wire::hello out;
    out.role = wire::process_role::router;
    out.process = router_name(n);
    out.region = kernel::region_id(region);
    out.config_version = version;
    return out;
}

wire::hello agent_hello(int n, kernel::config_version version = 1,
                        std::string const& region = "east")
{
    wire::hello out;
    out.role = wire::process_role::agent;
    out.process = kernel::process_id("agent-" + std::to_string(n));
    out.endpoint = kernel::endpoint_id("endpoint-" + std::to_string(n));
    out.region = kernel::region_id(region);
    out.config_version = version;
    return out;
}

struct fixture
{
    std::shared_ptr<kernel::manual_clock> clock =
        std::make_shared<kernel::manual_clock>();
    std::shared_ptr<kernel::seeded_random_source> random =
        std::make_shared<kernel::seeded_random_source>(seed);

    std::unique_ptr<config_dissemination> make(int n)
    {
        auto out = std::make_unique<config_dissemination>(
            router_name(n), kernel::region_id("east"), clock, random);
        out->add_own_address(address_of(n));
        return out;
    }
};

std::map<std::string, push_target> by_name(std::vector<push_target> const& all)
{
    std::map<std::string, push_target> out;
    for (auto const& it : all)
        out.emplace(it.contact.process.str(), it);
    return out;
}

wire::gossip gossip_of(int n, std::string const& region = "east")
{
    wire::gossip out;
    out.members.push_back({router_name(n), wire::process_role::router,
                           address_of(n).host, address_of(n).port,
                           kernel::region_id(region), kernel::zone_id("z"), 1,
                           false});
    return out;
}

} // namespace

// Guards against an agent that no router pushes to, and against every router
// pushing to every agent.
TEST_CASE("two routers push a version to each agent")
{
    constexpr int routers = 7;
    constexpr int agents = 40;
    fixture fix;
    std::map<std::string, int> pushes;
    for (int self = 0; self < routers; ++self)
    {
        auto const dissemination = fix.make(self);
        for (int n = 0; n < routers; ++n)
            if (n != self)
                dissemination->on_open(router_hello(n));
        for (int n = 0; n < agents; ++n)
            dissemination->on_open(agent_hello(n));
        for (auto const& it : dissemination->push_targets(2))
            ++pushes[it.contact.process.str()];
    }
    for (int n = 0; n < agents; ++n)
        CHECK(pushes["agent-" + std::to_string(n)] == 2);
}

// Guards against an agent whose two ranked routers are in another region and
// have no connection to it.
TEST_CASE("routers of other regions are not ranked for an agent")
{
    fixture fix;
    auto const dissemination = fix.make(0);
    for (int n = 1; n < 30; ++n)
        dissemination->on_open(router_hello(n, 1, "west"));
    for (int n = 0; n < 10; ++n)
        dissemination->on_open(agent_hello(n));
    dissemination->on_open(agent_hello(10, 1, "west"));

    auto const targets = by_name(dissemination->push_targets(2));

    for (int n = 0; n < 10; ++n)
        CHECK(targets.count("agent-" + std::to_string(n)) == 1);
    CHECK(targets.count("agent-10") == 0);
    CHECK(targets.size() == 10 + config::config_distribution::gossip_fanout);
}

// Guards against dead routers that count as live forever, so that no live
// router pushes to the agents assigned to them.
TEST_CASE("a router that was not heard of for long counts as dead")
{
    fixture fix;
    auto const dissemination = fix.make(0);
    for (int n = 1; n < 30; ++n)
        dissemination->on_gossip(gossip_of(n));
    fix.clock->advance(config_dissemination::member_lifetime +
                       std::chrono::milliseconds(1));
    for (int n = 0; n < 10; ++n)
        dissemination->on_open(agent_hello(n));

    CHECK(dissemination->push_targets(2).size() == 10);
    CHECK(dissemination->gossip_contacts().empty());
}

// Guards against repeated updates to a process that has the version, and
// against a restarted process that is assumed to have it.
TEST_CASE(
    "a version is pushed once unless a process reconnects with an old one")
{
    fixture fix;
    auto const dissemination = fix.make(0);
    dissemination->on_open(agent_hello(0, 3));
    dissemination->on_open(agent_hello(1, 5));
    dissemination->on_open(router_hello(1, 4));

    auto const first = by_name(dissemination->push_targets(5));
    CHECK(first.size() == 2);
    CHECK(first.at("agent-0").known_version == 3);
    CHECK(first.at("router-1").known_version == 4);
    CHECK(dissemination->push_targets(5).empty());

    dissemination->on_closed(agent_hello(0));
    dissemination->on_open(agent_hello(0, 2));
    auto const second = by_name(dissemination->push_targets(5));
    CHECK(second.size() == 1);
    CHECK(second.at("agent-0").known_version == 2);
}

// Guards against an update that starts at the wrong version: a late message
// must not lower the known version of the receiver, and a newer one must raise
// it.
TEST_CASE("the known version of a process only rises while it is connected")
{
    fixture fix;
    auto const dissemination = fix.make(0);
    dissemination->on_open(agent_hello(0, 3));
    dissemination->on_version(agent_hello(0).process, 6);
    dissemination->on_version(agent_hello(0).process, 4);

    CHECK(dissemination->push_targets(6).empty());
    auto const targets = dissemination->push_targets(7);
    REQUIRE(targets.size() == 1);
    CHECK(targets.front().known_version == 6);
}

// Guards against a router that gossips with itself or twice with the same
// router, and against routers from the settings or the VM list that are never
// contacted.
TEST_CASE("gossip goes to two different other routers")
{
    fixture fix;
    auto const dissemination = fix.make(0);
    dissemination->add_seed(address_of(1));
    dissemination->set_listed({address_of(0), address_of(1), address_of(2)});
    dissemination->on_gossip(gossip_of(0));
    dissemination->on_gossip(gossip_of(3));

    std::set<std::uint16_t> seen;
    for (int i = 0; i < 100; ++i)
    {
        auto const contacts = dissemination->gossip_contacts();
        REQUIRE(contacts.size() == config_dissemination::gossip_fanout);
        CHECK(contacts[0].address.port != contacts[1].address.port);
        for (auto const& it : contacts)
            seen.insert(it.address.port);
    }
    CHECK(seen == std::set<std::uint16_t>{9001, 9002, 9003});
}

// Guards against gossip messages that grow with the cluster.
TEST_CASE("gossip names a bounded number of members and the sender")
{
    fixture fix;
    auto const dissemination = fix.make(0);
    for (int n = 1; n < 50; ++n)
    {
        dissemination->on_open(router_hello(n));
        dissemination->on_address(router_name(n), address_of(n));
    }

    auto const msg = dissemination->make_gossip(9, router_hello(0));

    CHECK(msg.config_version == 9);
    CHECK(msg.members.size() == config_dissemination::max_gossip_members);
    CHECK(msg.members.back().process == router_name(0));
    CHECK(msg.members.back().port == address_of(0).port);
}

// Guards against routers that keep a dead one alive by repeating each other.
TEST_CASE("gossip does not pass on what was only heard by gossip")
{
    fixture fix;
    auto const dissemination = fix.make(0);
    dissemination->on_gossip(gossip_of(1));
    dissemination->on_open(router_hello(2));
    dissemination->on_address(router_name(2), address_of(2));

    auto const msg = dissemination->make_gossip(1, router_hello(0));

    REQUIRE(msg.members.size() == 2);
    CHECK(msg.members.front().process == router_name(2));
}

// Guards against connections that stay open between all pairs of routers.
TEST_CASE("a connection to a router is idle when nothing used it")
{
    fixture fix;
    auto const dissemination = fix.make(0);
    dissemination->on_open(router_hello(1));
    dissemination->on_open(router_hello(2));
    fix.clock->advance(config_dissemination::idle_limit / 2);
    dissemination->on_used(router_name(1));
    CHECK(dissemination->idle_routers().empty());

    fix.clock->advance(config_dissemination::idle_limit / 2);
    REQUIRE(dissemination->idle_routers().size() == 1);
    CHECK(dissemination->idle_routers().front() == router_name(2));
}

} // namespace endiveward::router
