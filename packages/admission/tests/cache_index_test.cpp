#include "admission/cache_index.hpp"

#include "admission/types/cache_event.hpp"

#include <catch2/catch.hpp>

namespace endiveward::admission
{

namespace
{

using outcome = i_cache_index::apply_outcome;

kernel::hash128 block(std::uint64_t number)
{
    return {1, number};
}

cache_event stored(kernel::incarnation engine, std::uint64_t number,
                   std::uint64_t id)
{
    return {engine, number, cache_event_kind::stored, block(id)};
}

cache_event evicted(kernel::incarnation engine, std::uint64_t number,
                    std::uint64_t id)
{
    return {engine, number, cache_event_kind::evicted, block(id)};
}

std::vector<wire::prefix_level> levels()
{
    return {{block(1), 1024}, {block(2), 4096}};
}

} // namespace

// Guards against an index that does not follow the engine's cache.
TEST_CASE("the index follows stored and evicted blocks")
{
    cache_index index(10);
    index.reset(7, 10, {block(1)});
    CHECK(index.hit_bytes(levels()) == 1024);
    CHECK(index.apply(stored(7, 11, 2)) == outcome::applied);
    CHECK(index.hit_bytes(levels()) == 4096);
    CHECK(index.apply(evicted(7, 12, 2)) == outcome::applied);
    CHECK(index.hit_bytes(levels()) == 1024);
    CHECK(index.apply(evicted(7, 13, 1)) == outcome::applied);
    CHECK(index.hit_bytes(levels()) == 0);
}

// Guards against reliance on the cache of an engine that has crashed, when its
// old events arrive after the new engine's listing.
TEST_CASE("events of another engine incarnation change nothing")
{
    cache_index index(10);
    index.reset(7, 10, {block(1), block(2)});
    index.reset(8, 0, {});
    CHECK(index.apply(stored(7, 11, 1)) == outcome::other_incarnation);
    CHECK(index.apply(stored(7, 1, 1)) == outcome::other_incarnation);
    CHECK(index.hit_bytes(levels()) == 0);
}

// Guards against reliance on a block whose eviction was lost.
TEST_CASE("a gap in event numbers empties the index until the next listing")
{
    cache_index index(10);
    index.reset(7, 10, {block(1)});
    CHECK(index.apply(stored(7, 12, 2)) == outcome::gap);
    CHECK(index.hit_bytes(levels()) == 0);
    CHECK(index.apply(stored(7, 13, 1)) == outcome::gap);
    CHECK(index.hit_bytes(levels()) == 0);
    index.reset(7, 20, {block(1)});
    CHECK(index.apply(stored(7, 13, 2)) == outcome::duplicate);
    CHECK(index.hit_bytes(levels()) == 1024);
}

// Guards against an index that grows with whatever the engine reports, and
// against a hit that is claimed for a block that was left out.
TEST_CASE("the index keeps no more blocks than its limit")
{
    cache_index index(1);
    index.reset(7, 10, {block(1), block(2)});
    CHECK(index.blocks() == 1);
    CHECK(index.hit_bytes(levels()) == 1024);
    CHECK(index.take_unindexed_blocks() == 1);
    CHECK(index.apply(stored(7, 11, 3)) == outcome::applied);
    CHECK(index.apply(stored(7, 12, 1)) == outcome::applied);
    CHECK(index.blocks() == 1);
    CHECK(index.take_unindexed_blocks() == 1);
    CHECK(index.take_unindexed_blocks() == 0);
    CHECK(index.apply(evicted(7, 13, 2)) == outcome::applied);
    CHECK(index.apply(evicted(7, 14, 1)) == outcome::applied);
    CHECK(index.apply(stored(7, 15, 2)) == outcome::applied);
    CHECK(index.blocks() == 1);
    CHECK(index.take_unindexed_blocks() == 0);
}

} // namespace endiveward::admission
