#ifndef ENDIVEWARD_ADMISSION_CACHE_INDEX_HPP
#define ENDIVEWARD_ADMISSION_CACHE_INDEX_HPP

#include "admission/i_cache_index.hpp"

#include <unordered_set>

namespace endiveward::admission
{

/// The set of blocks of one engine incarnation.
class cache_index : public i_cache_index
{
public:
    void reset(kernel::incarnation engine, std::uint64_t last_event,
               std::vector<kernel::hash128> const& blocks) override;
    apply_outcome apply(cache_event const& event) override;
    std::uint64_t
    hit_bytes(std::span<wire::prefix_level const> levels) const override;
    kernel::incarnation engine_incarnation() const override { return engine_; }
    std::size_t blocks() const override { return blocks_.size(); }

private:
    void discard();

    kernel::incarnation engine_ = 0;
    std::uint64_t last_event_ = 0;
    bool complete_ = false;
    std::unordered_set<kernel::hash128> blocks_;
};

} // namespace endiveward::admission

#endif
