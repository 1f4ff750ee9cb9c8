#ifndef ENDIVEWARD_BENCH_POLICY_ENGINE_FAKE_HPP
#define ENDIVEWARD_BENCH_POLICY_ENGINE_FAKE_HPP

#include "kernel/types/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace endiveward::bench
{

class block_ledger;

/// The cache of an engine: a set of block identities that evicts the least
/// recently used one.
class engine_fake
{
public:
    engine_fake(std::size_t cache_blocks, block_ledger& ledger);

    /// Leading blocks of the prompt that are cached.
    std::size_t cached_blocks(std::span<std::uint64_t const> blocks) const;
    /// Marks blocks as used and adds those that are missing.
    void use(std::span<std::uint64_t const> blocks);
    /// Empties the cache and starts a new incarnation.
    void restart();
    kernel::incarnation incarnation() const { return incarnation_; }

private:
    void use_block(std::uint64_t block);

    std::size_t cache_blocks_;
    block_ledger& ledger_;
    kernel::incarnation incarnation_ = 1;
    std::list<std::uint64_t> recent_; // most recent first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        index_;
};

} // namespace endiveward::bench

#endif
