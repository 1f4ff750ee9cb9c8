#include "follower/endpoint_snapshot.hpp"

#include <catch2/catch.hpp>

namespace endiveward::follower
{

namespace
{

kernel::steady_time at(int seconds)
{
    return kernel::steady_time(std::chrono::seconds(100 + seconds));
}

gateway::endpoint_entry entry_at(std::uint16_t port)
{
    gateway::endpoint_entry res;
    res.id = kernel::endpoint_id("e" + std::to_string(port));
    res.host = "10.0.0.1";
    res.port = port;
    return res;
}

kernel::socket_address const own{"10.0.0.1", 80};

} // namespace

// Load pattern: four versions in 22 s for 180 engines. Reading the list for
// each of them took 720 calls to the store.
TEST_CASE("a list of endpoints serves for several versions")
{
    endpoint_snapshot snapshot;
    CHECK_FALSE(snapshot.usable(own, at(0)));
    snapshot.set({entry_at(79), entry_at(80)}, at(0));
    CHECK(snapshot.usable(own, at(22)));
    CHECK(snapshot.at(own)->id.str() == "e80");
    CHECK_FALSE(snapshot.usable(own, at(60)));
}

// Guards against engines that all load at once: an agent whose list was read
// before the engines were registered finds no scheduled start for its engine,
// and orders the load immediately.
TEST_CASE("a list without the agent's own engine is read again")
{
    endpoint_snapshot snapshot;
    snapshot.set({entry_at(79)}, at(0));
    CHECK_FALSE(snapshot.usable(own, at(1)));
    CHECK(snapshot.at(own) == nullptr);
}

} // namespace endiveward::follower
