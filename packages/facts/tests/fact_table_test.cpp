#include "facts/fact_relay.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace endiveward::facts
{
namespace
{

using std::chrono::milliseconds;
using wire::fact_kind;

kernel::steady_time at(int ms)
{
    return kernel::steady_time(milliseconds(1000000 + ms));
}

wire::fact use(std::uint64_t key, std::uint64_t source, double value,
               std::uint32_t revision, int age_ms = 0)
{
    return {fact_kind::workspace_use, key, source, value, revision,
            milliseconds(age_ms)};
}

std::size_t count(std::vector<wire::fact_report> const& reports)
{
    std::size_t res = 0;
    for (auto const& it : reports)
        res += it.facts.size();
    return res;
}

} // namespace

// Guards against a fact that is counted twice, since it arrives through several
// agents.
TEST_CASE("a fact is new only once")
{
    fact_table table;
    CHECK(table.merge({use(1, 2, 10, 1)}, at(0)).size() == 1);
    CHECK(table.merge({use(1, 2, 10, 1)}, at(20)).empty());
    CHECK(table.merge({use(1, 2, 15, 2)}, at(40)).size() == 1);
    // It was held up at another agent.
    CHECK(table.merge({use(1, 2, 10, 1)}, at(60)).empty());
    CHECK(table.merge({use(1, 3, 10, 1)}, at(60)).size() == 1);
    REQUIRE(table.size() == 2);
    auto const all = table.snapshot(at(100));
    REQUIRE(all.size() == 2);
    CHECK(all[0].value == 15);
    CHECK(all[0].age == milliseconds(60));
}

// Guards against facts of processes that have ended and count forever.
TEST_CASE("a fact is forgotten after its lifetime")
{
    fact_table table;
    auto const lifetime = static_cast<int>(
        fact_table::lifetime_of(fact_kind::workspace_use).count());
    table.merge({use(1, 2, 10, 1, 1000)}, at(0));
    CHECK(table.snapshot(at(lifetime - 1001)).size() == 1);
    CHECK(table.snapshot(at(lifetime - 1000)).empty());
    table.merge({use(3, 4, 10, 1)}, at(lifetime));
    CHECK(table.size() == 1);
    CHECK(table.merge({use(5, 6, 10, 1, lifetime)}, at(lifetime)).empty());
}

// Guards against memory that grows with workspaces times routers.
TEST_CASE("a full table forgets what was updated longest ago")
{
    fact_table table(2);
    table.merge({use(1, 1, 1, 1), use(2, 1, 1, 1)}, at(0));
    table.merge({use(1, 1, 2, 2)}, at(1));
    table.merge({use(3, 1, 1, 1)}, at(2));
    REQUIRE(table.size() == 2);
    auto const all = table.snapshot(at(3));
    CHECK(all[0].key == 1);
    CHECK(all[1].key == 3);
}

// Guards against a router that reports often and floods the others, and against
// one that starts and does not know what the others have used.
TEST_CASE("an agent passes on the newest values and keeps them")
{
    fact_relay relay;
    CHECK(relay.on_report({{use(1, 1, 5, 1)}}, at(0)));
    CHECK(relay.on_report({{use(1, 1, 7, 2)}}, at(10)));
    CHECK_FALSE(relay.on_report({{use(1, 1, 7, 2)}}, at(20)));
    auto const passed_on = relay.take_pending(at(50));
    REQUIRE(passed_on.size() == 1);
    REQUIRE(passed_on[0].facts.size() == 1);
    CHECK(passed_on[0].facts[0].value == 7);
    CHECK(passed_on[0].facts[0].age == milliseconds(40));
    CHECK(relay.take_pending(at(60)).empty());
    CHECK(count(relay.snapshot(at(60))) == 1);
}

// Guards against messages that exceed the limit of a frame.
TEST_CASE("facts are sent in messages of bounded size")
{
    fact_relay relay;
    std::vector<wire::fact> facts;
    for (std::uint64_t n = 0; n < 2 * max_facts_per_report + 1; ++n)
        facts.push_back(use(n, 1, 1, 1));
    relay.on_report({facts}, at(0));
    auto const reports = relay.take_pending(at(50));
    CHECK(reports.size() == 3);
    CHECK(count(reports) == facts.size());
    for (auto const& it : reports)
        CHECK(it.facts.size() <= max_facts_per_report);
}

} // namespace endiveward::facts
