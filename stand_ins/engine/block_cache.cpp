#include "engine/block_cache.hpp"

namespace endiveward::stand_ins
{

std::vector<kernel::hash128> block_hashes(kernel::hash128 const& salt,
                                          std::string_view prompt)
{
    constexpr std::size_t block_bytes = 1024;
    std::vector<kernel::hash128> hashes;
    kernel::hash128 parent = salt;
    while (prompt.size() >= block_bytes)
    {
        parent = kernel::hash_chained(parent, prompt.substr(0, block_bytes));
        hashes.push_back(parent);
        prompt.remove_prefix(block_bytes);
    }
    return hashes;
}

block_cache::block_cache(std::size_t capacity)
    : capacity_(capacity)
{
}

std::size_t block_cache::use(std::span<kernel::hash128 const> blocks)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && contains(blocks[hits]))
        ++hits;
    // The deepest block is touched first, so that a prefix outlives what
    // continues it.
    for (std::size_t n = hits; n-- > 0;)
        recent_.splice(recent_.begin(), recent_, places_.at(blocks[n]));
    return hits;
}

block_cache::changes block_cache::store(std::span<kernel::hash128 const> blocks)
{
    changes made;
    for (std::size_t n = blocks.size(); n-- > 0;)
    {
        auto const it = places_.find(blocks[n]);
        if (it != places_.end())
        {
            recent_.splice(recent_.begin(), recent_, it->second);
            continue;
        }
        recent_.push_front(blocks[n]);
        places_[blocks[n]] = recent_.begin();
        made.stored.push_back(blocks[n]);
    }
    while (recent_.size() > capacity_)
    {
        made.evicted.push_back(recent_.back());
        places_.erase(recent_.back());
        recent_.pop_back();
    }
    return made;
}

bool block_cache::contains(kernel::hash128 const& block) const
{
    return places_.count(block) != 0;
}

std::vector<kernel::hash128> block_cache::blocks() const
{
    return {recent_.begin(), recent_.end()};
}

} // namespace endiveward::stand_ins
