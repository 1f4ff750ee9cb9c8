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

/// Index of the blocks in an engine's prefix cache, built from its cache
/// events. Not thread-safe.
class i_cache_index
{
public:
    enum class apply_outcome : std::uint8_t
    {
        applied,
        /// The event number is not above that of the last event applied.
        duplicate,
        /// The event is from another incarnation of the engine.
        other_incarnation,
        /// Events were lost; the index stays empty until `reset`.
        gap
    };

    virtual ~i_cache_index() = default;

    /// Replaces the index by a listing of the cache that includes the events up
    /// to `last_event`.
    virtual void reset(kernel::incarnation engine, std::uint64_t last_event,
                       std::vector<kernel::hash128> const& blocks) = 0;
    virtual apply_outcome apply(cache_event const& event) = 0;

    /// Bytes of the deepest level up to which the last blocks of all levels are
    /// cached; 0 if there is none.
    virtual std::uint64_t
    hit_bytes(std::span<wire::prefix_level const> levels) const = 0;
    virtual kernel::incarnation engine_incarnation() const = 0;
    virtual std::size_t blocks() const = 0;
    /// Returns and resets the number of blocks that were not added because the
    /// index was full.
    virtual std::uint64_t take_unindexed_blocks() = 0;
};

} // namespace endiveward::admission

#endif
