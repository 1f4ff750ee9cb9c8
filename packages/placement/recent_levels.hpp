#ifndef ENDIVEWARD_PLACEMENT_RECENT_LEVELS_HPP
#define ENDIVEWARD_PLACEMENT_RECENT_LEVELS_HPP

#include "wire/types/prefix_level.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace endiveward::placement
{

/// Most recently used prefix levels of an endpoint, for
/// `load_report::recent_levels`. An agent keeps one instance for each engine
/// incarnation. Not safe for concurrent use.
class recent_levels
{
public:
    explicit recent_levels(std::size_t limit = default_limit);

    /// Adds the levels, outermost first, of an accepted call.
    void add(std::span<wire::prefix_level const> levels);
    /// Must be called when the engine has restarted.
    void clear() { levels_.clear(); }
    /// Most recently used first.
    std::vector<wire::prefix_level> const& list() const { return levels_; }

    /// 16 levels add about 0.7 KB to a load report.
    static constexpr std::size_t default_limit = 16;

private:
    std::size_t limit_;
    std::vector<wire::prefix_level> levels_;
};

} // namespace endiveward::placement

#endif
