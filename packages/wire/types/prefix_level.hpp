#ifndef ENDIVEWARD_WIRE_TYPES_PREFIX_LEVEL_HPP
#define ENDIVEWARD_WIRE_TYPES_PREFIX_LEVEL_HPP

#include "kernel/types/hash128.hpp"

#include <cstdint>

namespace endiveward::wire
{

/// A nested prefix of a prompt: its chained hash and its length in bytes from
/// the start of the prompt.
struct prefix_level
{
    kernel::hash128 hash;
    std::uint64_t bytes = 0;

    bool operator==(prefix_level const&) const = default;
};

} // namespace endiveward::wire

#endif
