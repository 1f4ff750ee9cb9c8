#include "placement/recent_levels.hpp"

#include <algorithm>

namespace endiveward::placement
{

recent_levels::recent_levels(std::size_t limit)
    : limit_(limit)
{
    levels_.reserve(limit + 1);
}

// Inserts the deepest level first, so that the outermost, which most requests
// share, ends up at the front and is evicted last.
void recent_levels::add(std::span<wire::prefix_level const> levels)
{
    for (auto it = levels.rbegin(); it != levels.rend(); ++it)
    {
        std::erase(levels_, *it);
        levels_.insert(levels_.begin(), *it);
        if (levels_.size() > limit_)
            levels_.pop_back();
    }
}

} // namespace endiveward::placement
