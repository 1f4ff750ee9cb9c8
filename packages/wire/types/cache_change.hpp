#ifndef ENDIVEWARD_WIRE_TYPES_CACHE_CHANGE_HPP
#define ENDIVEWARD_WIRE_TYPES_CACHE_CHANGE_HPP

#include "wire/types/cached_part.hpp"

#include <vector>

namespace endiveward::wire
{

/// Parts that an engine has stored or evicted since the last such message.
struct cache_change
{
    /// What was known before is void.
    bool reset = false;
    std::vector<cached_part> parts;

    bool operator==(cache_change const&) const = default;
};

} // namespace endiveward::wire

#endif
