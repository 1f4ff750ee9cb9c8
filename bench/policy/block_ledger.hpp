#ifndef ENDIVEWARD_BENCH_POLICY_BLOCK_LEDGER_HPP
#define ENDIVEWARD_BENCH_POLICY_BLOCK_LEDGER_HPP

#include "policy/workload.hpp"

#include <cstdint>
#include <unordered_map>

namespace endiveward::bench
{

/// Knows for each block how many engines hold it and when it was last
/// computed, to tell wasted recomputation from necessary work.
class block_ledger
{
public:
    void computed(std::uint64_t block, sim_time now);
    void stored(std::uint64_t block) { ++entries_[block].copies; }
    void evicted(std::uint64_t block) { --entries_[block].copies; }
    /// Computing the block now is a waste.
    bool is_waste(std::uint64_t block, sim_time now) const;

private:
    struct entry
    {
        int copies = 0;
        sim_time computed = sim_time::min();
    };

    std::unordered_map<std::uint64_t, entry> entries_;
};

} // namespace endiveward::bench

#endif
