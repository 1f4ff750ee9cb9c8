#include "router/remote_endpoints.hpp"

#include "config/types/routing_key.hpp"
#include "kernel/manual_clock.hpp"

#include <catch2/catch.hpp>

#include <set>

namespace endiveward::router
{

namespace
{

struct fixture
{
    fixture()
    {
        std::vector<listed_agent> listed;
        for (int n = 0; n < 10; ++n)
        {
            allowed.emplace_back("e" + std::to_string(n));
            listed.push_back(
                {allowed.back(),
                 {"127.0.0.1", static_cast<std::uint16_t>(9000 + n)}});
        }
        remote.set_listed(listed);
    }

    std::set<std::string> choose(config::routing_key const& routing)
    {
        std::set<std::string> out;
        for (auto const& it : remote.choose(routing, allowed))
            out.insert(it.endpoint.str());
        return out;
    }

    std::shared_ptr<kernel::manual_clock> clock =
        std::make_shared<kernel::manual_clock>();
    remote_endpoints remote{clock};
    std::vector<kernel::endpoint_id> allowed;
};

config::routing_key routing_key_of(std::string const& workspace)
{
    return {kernel::workspace_id(workspace), kernel::model_id("m"),
            kernel::model_version("1"), kernel::service_id()};
}

} // namespace

// Guards against connections from every router to every endpoint of the other
// regions, and against a selection that changes from call to call.
TEST_CASE("a workspace's model version has three remote endpoints at most")
{
    fixture fix;
    auto const first = fix.choose(routing_key_of("w"));
    CHECK(first.size() == remote_endpoints::max_per_routing_key);
    CHECK(fix.choose(routing_key_of("w")) == first);

    fixture other_router;
    CHECK(other_router.choose(routing_key_of("w")) == first);
}

// Guards against all workspaces using the same three endpoints.
TEST_CASE("the remote endpoints of different workspaces differ")
{
    fixture fix;
    std::set<std::string> all;
    for (int n = 0; n < 40; ++n)
        all.merge(fix.choose(routing_key_of("w" + std::to_string(n))));
    CHECK(all.size() == fix.allowed.size());
}

// Guards against calls to endpoints that the rules exclude or that have been
// removed.
TEST_CASE("only allowed and listed endpoints are chosen")
{
    fixture fix;
    fix.allowed = {kernel::endpoint_id("e1"), kernel::endpoint_id("unlisted")};
    CHECK(fix.choose(routing_key_of("w")) == std::set<std::string>{"e1"});
    fix.remote.set_listed({});
    CHECK(fix.choose(routing_key_of("w")).empty());
}

// Guards against traffic that keeps using endpoints that cannot be reached.
TEST_CASE("an endpoint that failed is replaced for a while")
{
    fixture fix;
    auto const first = fix.choose(routing_key_of("w"));
    auto const failed = *first.begin();
    fix.remote.on_failed(kernel::endpoint_id(failed));
    auto const second = fix.choose(routing_key_of("w"));
    CHECK(second.size() == remote_endpoints::max_per_routing_key);
    CHECK(second.count(failed) == 0);
    fix.clock->advance(remote_endpoints::failure_backoff);
    CHECK(fix.choose(routing_key_of("w")) == first);
}

// Guards against connections that stay open after their last use, and against
// one that is closed while other traffic uses it.
TEST_CASE("a remote endpoint is idle a minute after its last use")
{
    fixture fix;
    fix.allowed = {kernel::endpoint_id("e1")};
    fix.choose(routing_key_of("v"));
    fix.choose(routing_key_of("w"));
    fix.clock->advance(remote_endpoints::idle_limit / 2);
    fix.choose(routing_key_of("w"));
    fix.clock->advance(remote_endpoints::idle_limit / 2);
    CHECK_FALSE(fix.remote.is_idle(kernel::endpoint_id("e1")));
    fix.clock->advance(remote_endpoints::idle_limit / 2);
    CHECK(fix.remote.is_idle(kernel::endpoint_id("e1")));
}

} // namespace endiveward::router
