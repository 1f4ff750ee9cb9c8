#include "placement/recent_levels.hpp"

#include <algorithm>

namespace endiveward::placement
{

recent_levels::recent_levels(std::size_t limit)
    : limit_(limit)
{
    levels_.reserve(limit + 1);
}

// The outermost level ends up first, since most requests share it.
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
