#ifndef ENDIVEWARD_ADMISSION_I_CACHE_INDEX_HPP
#define ENDIVEWARD_ADMISSION_I_CACHE_INDEX_HPP

#include "kernel/types/hash128.hpp"
#include "kernel/types/identifiers.hpp"
#include "wire/types/prefix_level.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace endiveward::admission
{

struct cache_event;

/// What an engine has cached, built from its events. Used on one thread.
class i_cache_index
{
public:
    enum class apply_outcome : std::uint8_t
    {
        applied,
        duplicate,
        /// The event belongs to another life of the engine.
        other_incarnation,
        /// Entries were lost; the index is empty until `reset`.
        gap
    };

    virtual ~i_cache_index() = default;

    /// Starts from a listing that is current up to an event number.
    virtual void reset(kernel::incarnation engine, std::uint64_t last_event,
                       std::vector<kernel::hash128> const& blocks) = 0;
    virtual apply_outcome apply(cache_event const& event) = 0;

    /// Bytes of the deepest level whose last block is cached; 0 if unknown.
    virtual std::uint64_t
    hit_bytes(std::span<wire::prefix_level const> levels) const = 0;
    virtual kernel::incarnation engine_incarnation() const = 0;
    virtual std::size_t blocks() const = 0;
    /// Blocks that were left out since the last call because the index is full.
    virtual std::uint64_t take_unindexed_blocks() = 0;
};

} // namespace endiveward::admission

#endif
