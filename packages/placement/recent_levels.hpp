#ifndef ENDIVEWARD_PLACEMENT_RECENT_LEVELS_HPP
#define ENDIVEWARD_PLACEMENT_RECENT_LEVELS_HPP

#include "wire/types/prefix_level.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace endiveward::placement
{

/// The prefix levels that an endpoint used last, for
/// `load_report::recent_levels`. An agent keeps one for each engine
/// incarnation. Not safe for concurrent use.
class recent_levels
{
public:
    explicit recent_levels(std::size_t limit = default_limit);

    /// A call with these levels, outermost first, was accepted.
    void add(std::span<wire::prefix_level const> levels);
    /// The engine restarted.
    void clear() { levels_.clear(); }
    /// Most recent first.
    std::vector<wire::prefix_level> const& list() const { return levels_; }

    /// 16 levels take about 0.7 KB of a report.
    static constexpr std::size_t default_limit = 16;

private:
    std::size_t limit_;
    std::vector<wire::prefix_level> levels_;
};

} // namespace endiveward::placement

#endif
