#ifndef ENDIVEWARD_ADMISSION_CACHE_INDEX_HPP
#define ENDIVEWARD_ADMISSION_CACHE_INDEX_HPP

#include "admission/i_cache_index.hpp"

#include <unordered_set>

namespace endiveward::admission
{

/// Set of the cached blocks of one engine incarnation, up to a limit. Blocks
/// beyond the limit count as not cached, which only makes placement less
/// accurate.
class cache_index : public i_cache_index
{
public:
    explicit cache_index(std::size_t max_blocks);

    void reset(kernel::incarnation engine, std::uint64_t last_event,
               std::vector<kernel::hash128> const& blocks) override;
    apply_outcome apply(cache_event const& event) override;
    std::uint64_t
    hit_bytes(std::span<wire::prefix_level const> levels) const override;
    kernel::incarnation engine_incarnation() const override { return engine_; }
    std::size_t blocks() const override { return blocks_.size(); }
    std::uint64_t take_unindexed_blocks() override;

private:
    void insert(kernel::hash128 const& block);
    void discard();

    std::size_t const max_blocks_;
    /// Blocks not added because of the limit, since the last
    /// `take_unindexed_blocks`.
    std::uint64_t unindexed_blocks_ = 0;
    kernel::incarnation engine_ = 0;
    std::uint64_t last_event_ = 0;
    /// False after a gap in the event numbers, until the next `reset`.
    bool complete_ = false;
    std::unordered_set<kernel::hash128> blocks_;
};

} // namespace endiveward::admission

#endif
