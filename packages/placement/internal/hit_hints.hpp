#ifndef ENDIVEWARD_PLACEMENT_INTERNAL_HIT_HINTS_HPP
#define ENDIVEWARD_PLACEMENT_INTERNAL_HIT_HINTS_HPP

#include "kernel/i_clock.hpp"
#include "kernel/types/hash128.hpp"
#include "wire/types/prefix_level.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace endiveward::placement
{

/// Prefix levels that one engine incarnation is expected to have cached,
/// limited to the `limit` most recently used. Level hashes derive from a
/// `cache_namespace`, so hints never match another workspace or model version.
class hit_hints
{
public:
    using duration = kernel::steady_time::duration;

    explicit hit_hints(std::size_t limit);

    /// Bytes of the deepest level that is expected to be cached.
    std::uint64_t expected_bytes(std::span<wire::prefix_level const> levels,
                                 kernel::steady_time now) const;
    /// Records that the agent found `hit_bytes` of the prompt in the cache. If
    /// `will_run`, the engine computes the rest and will have all levels
    /// cached.
    void record(std::span<wire::prefix_level const> levels,
                std::uint64_t hit_bytes, bool will_run,
                kernel::steady_time now);
    /// Adds levels, most recent first, of calls that the agent has accepted.
    void add(std::span<wire::prefix_level const> levels,
             kernel::steady_time now);
    /// Marks the levels of a call that has ended as computed.
    void mark_computed(std::span<wire::prefix_level const> levels);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        kernel::hash128 level;
        kernel::steady_time last_used;
        bool computed; // false while the engine may still be computing it
    };
    using entry_list = std::list<entry>;

    void adjust_retention(kernel::hash128 const& level, bool hit,
                          kernel::steady_time now);
    void touch(kernel::hash128 const& level, bool computed,
               kernel::steady_time now);
    void remove(kernel::hash128 const& level);

    std::size_t limit_;
    duration retention_;
    entry_list entries_; // most recently used first
    std::unordered_map<kernel::hash128, entry_list::iterator> index_;
};

} // namespace endiveward::placement

#endif
