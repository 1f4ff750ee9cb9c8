#include "policy/engine_fake.hpp"

#include "policy/block_ledger.hpp"

namespace endiveward::bench
{

engine_fake::engine_fake(std::size_t cache_blocks, block_ledger& ledger)
    : cache_blocks_(cache_blocks)
    , ledger_(ledger)
{
}

std::size_t
engine_fake::cached_blocks(std::span<std::uint64_t const> blocks) const
{
    std::size_t n = 0;
    while (n < blocks.size() && index_.contains(blocks[n]))
        ++n;
    return n;
}

// The outermost block is used last, so that a chain loses its end first: a
// block without its predecessors is of no use.
void engine_fake::use(std::span<std::uint64_t const> blocks)
{
    for (auto it = blocks.rbegin(); it != blocks.rend(); ++it)
        use_block(*it);
}

void engine_fake::use_block(std::uint64_t block)
{
    auto const found = index_.find(block);
    if (found != index_.end())
    {
        recent_.splice(recent_.begin(), recent_, found->second);
        return;
    }
    recent_.push_front(block);
    index_.emplace(block, recent_.begin());
    ledger_.stored(block);
    if (recent_.size() <= cache_blocks_)
        return;
    ledger_.evicted(recent_.back());
    index_.erase(recent_.back());
    recent_.pop_back();
}

void engine_fake::restart()
{
    for (auto const it : recent_)
        ledger_.evicted(it);
    recent_.clear();
    index_.clear();
    ++incarnation_;
}

} // namespace endiveward::bench
