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

// Guards against an index that differs from the engine's cache.
TEST_CASE("the index reflects stored and evicted blocks")
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

// Guards against counting cache hits of a crashed engine when its events arrive
// after the listing of the restarted engine.
TEST_CASE("events of another engine incarnation change nothing")
{
    cache_index index(10);
    index.reset(7, 10, {block(1), block(2)});
    index.reset(8, 0, {});
    CHECK(index.apply(stored(7, 11, 1)) == outcome::other_incarnation);
    CHECK(index.apply(stored(7, 1, 1)) == outcome::other_incarnation);
    CHECK(index.hit_bytes(levels()) == 0);
}

// Guards against counting a block as cached whose eviction event was lost.
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

// Guards against unbounded growth of the index, and against reporting a hit for
// a block that was not added because of the limit.
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
