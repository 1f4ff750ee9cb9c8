#include "gateway/connection_policy.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace endiveward::gateway
{

namespace
{

using activity = connection_activity;
using std::chrono::milliseconds;

constexpr std::size_t kib = 1024;
kernel::steady_time const now{std::chrono::seconds(100)};

connection_load load(activity what, milliseconds age, std::size_t bytes)
{
    return {what, now - age, bytes};
}

} // namespace

// Guards against a crowd of large requests that stop short of their end, beside
// which ordinary requests are given up.
TEST_CASE("requests that have held most for longest give way first")
{
    std::vector<connection_load> const loads{
        load(activity::receiving, milliseconds(10), 20 * kib),
        load(activity::receiving, milliseconds(200), 4096 * kib),
        load(activity::serving, milliseconds(9000), 4096 * kib),
        load(activity::receiving, milliseconds(5000), 1024 * kib),
        load(activity::idle, milliseconds(9000), 4 * kib)};
    CHECK(connections_to_relieve(loads, {500 * kib, 0}, now) ==
          std::vector<std::size_t>{3});
    CHECK(connections_to_relieve(loads, {8000 * kib, 0}, now) ==
          std::vector<std::size_t>{3, 1});
    CHECK(connections_to_relieve(loads, {8000 * kib, 8000 * kib}, now) ==
          std::vector<std::size_t>{3, 1, 0});
    CHECK(connections_to_relieve(loads, {0, 0}, now).empty());
}

// Guards against a crowd of heads, each of them small, that takes all memory.
TEST_CASE("small requests give way only for what is exceeded by all")
{
    std::vector<connection_load> loads(
        1000, load(activity::receiving, milliseconds(1000), 30 * kib));
    CHECK(connections_to_relieve(loads, {20000 * kib, 0}, now).empty());
    CHECK(
        connections_to_relieve(loads, {20000 * kib, 3000 * kib}, now).size() ==
        100);
}

// Guards against streams that are given up though their callers are only slow.
TEST_CASE("what waits for a slow caller is small")
{
    std::vector<connection_load> const loads{
        load(activity::unread, milliseconds(3000), 100 * kib),
        load(activity::unread, milliseconds(300), 1000 * kib)};
    CHECK(connections_to_relieve(loads, {5000 * kib, 0}, now) ==
          std::vector<std::size_t>{1});
}

TEST_CASE("a connection without progress gives its place to a new one")
{
    std::vector<connection_load> loads{
        load(activity::serving, milliseconds(9000), kib),
        load(activity::idle, milliseconds(8000), kib),
        load(activity::unread, milliseconds(500), kib),
        load(activity::receiving, milliseconds(700), kib),
        load(activity::silent, milliseconds(10), kib),
        load(activity::silent, milliseconds(20), kib)};
    for (std::size_t const expected : {5, 4, 3, 2, 1})
    {
        auto const found = connection_to_displace(loads, {}, now);
        REQUIRE(found);
        CHECK(*found == expected);
        loads[*found].activity = activity::serving;
    }
    CHECK_FALSE(connection_to_displace(loads, {}, now));
}

// Guards against a caller that has just connected, or that sends or reads, and
// gives its place up while idle connections keep theirs; and against a crowd of
// new connections that takes the places of all idle ones.
TEST_CASE("some callers that have just made progress are spared")
{
    std::vector<connection_load> loads{
        load(activity::unread, milliseconds(1900), kib),
        load(activity::receiving, milliseconds(1800), kib),
        load(activity::silent, milliseconds(10), kib),
        load(activity::silent, milliseconds(20), kib),
        load(activity::idle, milliseconds(30), kib),
        load(activity::idle, milliseconds(40), kib),
        load(activity::silent, milliseconds(2100), kib)};
    auto const few = GENERATE(true, false);
    std::vector<std::size_t> const expected =
        few ? std::vector<std::size_t>{6, 5, 4, 3, 2, 1, 0}
            : std::vector<std::size_t>{6, 3, 5, 4, 2, 1, 0};
    spared_connections const spared{0, few ? std::size_t{4} : std::size_t{3}};
    for (auto const n : expected)
    {
        auto const found = connection_to_displace(loads, spared, now);
        REQUIRE(found);
        CHECK(*found == n);
        loads[*found].activity = activity::serving;
    }
}

// Guards against a refusal whose caller has no time to read it.
TEST_CASE("callers that read their last response keep their places first")
{
    std::vector<connection_load> const loads{
        load(activity::lingering, milliseconds(10), kib),
        load(activity::lingering, milliseconds(20), kib),
        load(activity::idle, milliseconds(30), kib)};
    CHECK(count_lingering(loads) == 2);
    CHECK(connection_to_displace(loads, {2, 0}, now) == std::size_t{2});
    CHECK(connection_to_displace(loads, {1, 0}, now) == std::size_t{1});
}

} // namespace endiveward::gateway
