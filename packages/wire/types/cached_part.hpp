#ifndef ENDIVEWARD_WIRE_TYPES_CACHED_PART_HPP
#define ENDIVEWARD_WIRE_TYPES_CACHED_PART_HPP

#include <cstdint>

namespace endiveward::wire
{

/// A part of a prompt in an engine's cache.
struct cached_part
{
    /// Hash of salt and part.
    std::uint64_t key = 0;
    /// Tokens that are held; zero if the part was evicted.
    std::uint32_t tokens = 0;

    bool operator==(cached_part const&) const = default;
};

} // namespace endiveward::wire

#endif
