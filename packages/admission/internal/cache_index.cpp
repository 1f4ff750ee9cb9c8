#include "admission/cache_index.hpp"

#include "admission/types/cache_event.hpp"

#include <utility>

namespace endiveward::admission
{

cache_index::cache_index(std::size_t max_blocks)
    : max_blocks_(max_blocks)
{
}

void cache_index::reset(kernel::incarnation engine, std::uint64_t last_event,
                        std::vector<kernel::hash128> const& blocks)
{
    engine_ = engine;
    last_event_ = last_event;
    complete_ = true;
    blocks_.clear();
    for (auto const& it : blocks)
        insert(it);
}

cache_index::apply_outcome cache_index::apply(cache_event const& event)
{
    if (event.engine_incarnation != engine_)
        return apply_outcome::other_incarnation;
    if (!complete_)
        return apply_outcome::gap;
    if (event.number <= last_event_)
        return apply_outcome::duplicate;
    if (event.number != last_event_ + 1)
    {
        // A lost event may be the eviction of any block, so the whole index is
        // invalid.
        discard();
        return apply_outcome::gap;
    }
    last_event_ = event.number;
    if (event.kind == cache_event_kind::stored)
        insert(event.block);
    else
        blocks_.erase(event.block);
    return apply_outcome::applied;
}

std::uint64_t
cache_index::hit_bytes(std::span<wire::prefix_level const> levels) const
{
    std::uint64_t hit = 0;
    for (auto const& it : levels)
    {
        if (!blocks_.contains(it.hash))
            break;
        hit = it.bytes;
    }
    return hit;
}

void cache_index::insert(kernel::hash128 const& block)
{
    if (blocks_.size() < max_blocks_)
        blocks_.insert(block);
    else if (!blocks_.contains(block))
        ++unindexed_blocks_;
}

std::uint64_t cache_index::take_unindexed_blocks()
{
    return std::exchange(unindexed_blocks_, 0);
}

void cache_index::discard()
{
    complete_ = false;
    blocks_.clear();
}

} // namespace endiveward::admission
