#include "policy/block_ledger.hpp"

namespace endiveward::bench
{

namespace
{

// The time for which a good placement could have kept a block.
constexpr sim_time recent = std::chrono::seconds(10);

} // namespace

void block_ledger::computed(std::uint64_t block, sim_time now)
{
    entries_[block].computed = now;
}

bool block_ledger::is_waste(std::uint64_t block, sim_time now) const
{
    auto const it = entries_.find(block);
    if (it == entries_.end())
        return false;
    if (it->second.copies > 0)
        return true;
    return it->second.computed != sim_time::min() &&
           now - it->second.computed <= recent;
}

} // namespace endiveward::bench
