#include "gateway/routing_table.hpp"

#include <catch2/catch.hpp>

namespace endiveward::gateway
{

namespace
{

route make_route(std::string name, std::string host, std::string prefix)
{
    route res;
    res.name = std::move(name);
    res.host = std::move(host);
    res.prefix = std::move(prefix);
    res.shares = {{kernel::service_id("s"), 1}};
    return res;
}

} // namespace

TEST_CASE("the longest matching path prefix selects the route")
{
    routing_config config;
    config.routes = {make_route("short", "a.example", "/x/"),
                     make_route("long", "a.example", "/x/y/"),
                     make_route("other", "b.example", "/x/")};
    routing_table const table(config);
    CHECK(table.match("a.example", "/x/y/z?q=/")->name == "long");
    CHECK(table.match("A.Example:80", "/x/yz")->name == "short");
    CHECK(table.match("b.example", "/x/y/")->name == "other");
    // The query does not belong to the path, and a prefix ends with a slash.
    CHECK(table.match("a.example", "/?/x/") == nullptr);
    CHECK(table.match("a.example", "/x") == nullptr);
    CHECK(table.match("c.example", "/x/") == nullptr);
}

TEST_CASE("a key identifies only its own workspace")
{
    routing_config config;
    config.workspaces = {{kernel::workspace_id("w1"), {"k1", "k2"}, 1, true},
                         {kernel::workspace_id("w2"), {"k3"}, {}, false}};
    routing_table const table(config);
    REQUIRE(table.needs_keys());
    CHECK(table.workspace_of("k2")->id.str() == "w1");
    CHECK(table.workspace_of("k3")->id.str() == "w2");
    CHECK(table.workspace_of("") == nullptr);
    CHECK(table.workspace_of("k") == nullptr);
}

// Guards against two requests with the same id that go to different services.
TEST_CASE("a split follows its weights and is stable for each request id")
{
    auto split = make_route("r", "h", "/");
    split.shares = {{kernel::service_id("a"), 90},
                    {kernel::service_id("b"), 10}};
    int b = 0;
    for (int n = 0; n < 10000; ++n)
    {
        auto const id = std::to_string(n);
        auto const* const first = service_for(split, id);
        REQUIRE(first == service_for(split, id));
        b += first->str() == "b" ? 1 : 0;
    }
    CHECK(b > 900);
    CHECK(b < 1100);
    split.shares = {{kernel::service_id("a"), 0}};
    CHECK(service_for(split, "1") == nullptr);
}

} // namespace endiveward::gateway
