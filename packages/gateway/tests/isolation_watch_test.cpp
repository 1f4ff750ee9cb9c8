#include "gateway/isolation_watch.hpp"

#include "gateway/routing_table.hpp"
#include "kernel/manual_clock.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds deadline{2000};

struct watch_fixture
{
    struct member
    {
        std::string id;
        bool isolated = false;
    };

    explicit watch_fixture(std::vector<member> const& members)
    {
        apply(members);
    }

    void apply(std::vector<member> const& members)
    {
        routing_config config;
        for (auto const& it : members)
            config.workspaces.push_back({kernel::workspace_id(it.id),
                                         {"key-" + it.id},
                                         {},
                                         it.isolated});
        auto next = std::make_shared<routing_table const>(std::move(config));
        watch.on_table(table.get(), *next);
        // Requests keep the configuration with which they began.
        tables.push_back(table);
        table = std::move(next);
    }

    isolation_watch::cache_use use_of(std::string const& id,
                                      std::uint64_t seed = 0) const
    {
        return watch.use_of(*table, table->workspace_of("key-" + id), seed);
    }

    kernel::manual_clock clock;
    isolation_watch watch{clock, deadline};
    std::shared_ptr<routing_table const> table;
    std::vector<std::shared_ptr<routing_table const>> tables;
};

} // namespace

// Guards against requests that stay among KV cache of others after the operator
// isolated a workspace, and against all of them leaving at once.
TEST_CASE("requests of an isolated workspace leave first and all in time")
{
    watch_fixture it({{"a"}, {"b"}});
    auto const own = it.use_of("a");
    auto const other = it.use_of("b", 123);
    auto const without_key = it.watch.use_of(*it.table, nullptr, 456);
    CHECK_FALSE(it.watch.departure_of(own));
    it.apply({{"a", true}, {"b"}});
    auto const now = it.clock.now();
    CHECK(it.watch.departure_of(own)->at == now + deadline / 2);
    CHECK(it.watch.departure_of(other)->at ==
          now + deadline / 2 + milliseconds(123));
    CHECK(it.watch.departure_of(without_key)->at ==
          now + deadline / 2 + milliseconds(456));
    CHECK(it.watch.departure_of(own)->is_own);
    CHECK_FALSE(it.watch.departure_of(other)->is_own);
    for (std::uint64_t seed = 0; seed < 5000; seed += 7)
    {
        auto use = other;
        use.seed = seed;
        CHECK(it.watch.departure_of(use)->at < now + deadline * 3 / 4);
    }
}

// Guards against sound requests that are cut: none of these shares anything
// with a workspace that has become isolated.
TEST_CASE("requests stay that share nothing with an isolated workspace")
{
    watch_fixture it({{"a"}, {"b"}, {"c", true}});
    auto const shared = it.use_of("b");
    auto const alone = it.use_of("c");
    SECTION("nobody is isolated")
    {
        it.apply({{"a"}, {"b"}, {"c", true}});
    }
    SECTION("a workspace is set free")
    {
        it.apply({{"a"}, {"b"}, {"c"}});
        CHECK_FALSE(it.watch.departure_of(alone));
    }
    SECTION("workspaces are added, isolated ones, too")
    {
        it.apply({{"a"}, {"b"}, {"c", true}, {"d", true}, {"e"}});
    }
    SECTION("a workspace is removed")
    {
        it.apply({{"b"}, {"c", true}});
    }
    SECTION("a workspace is isolated and set free again")
    {
        it.apply({{"a", true}, {"b"}, {"c", true}});
        REQUIRE(it.watch.departure_of(shared));
        it.apply({{"a"}, {"b"}, {"c", true}});
    }
    CHECK_FALSE(it.watch.departure_of(shared));
    CHECK_FALSE(it.watch.departure_of(alone));
}

// Guards against requests that leave again after each change, or because of one
// that was known when they were sent.
TEST_CASE("requests leave only because of what happened after they were sent")
{
    watch_fixture it({{"a"}, {"b"}, {"c"}});
    it.apply({{"a", true}, {"b"}, {"c"}});
    auto const later = it.use_of("b");
    CHECK_FALSE(it.watch.departure_of(later));
    CHECK_FALSE(it.watch.departure_of(it.use_of("a")));
    it.clock.advance(milliseconds(300));
    it.apply({{"a", true}, {"b"}, {"c", true}});
    CHECK(it.watch.departure_of(later)->at == it.clock.now() + deadline / 2);
}

// Two workspaces are isolated by one change or by two; the first change counts.
TEST_CASE("several workspaces that become isolated are known together")
{
    watch_fixture it({{"a"}, {"b"}, {"c"}});
    auto const own = it.use_of("b", 99);
    auto const first = it.clock.now();
    SECTION("with one change")
    {
        it.apply({{"a", true}, {"b", true}, {"c"}});
    }
    SECTION("with two changes")
    {
        it.apply({{"a", true}, {"b"}, {"c"}});
        it.clock.advance(milliseconds(200));
        it.apply({{"a", true}, {"b", true}, {"c"}});
    }
    SECTION("and one of them is removed afterwards")
    {
        it.apply({{"a", true}, {"b", true}, {"c"}});
        it.apply({{"b", true}, {"c"}});
    }
    CHECK(it.watch.departure_of(own)->at == first + deadline / 2);
}

} // namespace endiveward::gateway
