#ifndef ENDIVEWARD_WIRE_TYPES_CHUNK_HPP
#define ENDIVEWARD_WIRE_TYPES_CHUNK_HPP

#include <cstdint>
#include <string>

namespace endiveward::wire
{

/// A piece of an answer; numbered from 0 without gaps.
struct chunk
{
    std::uint64_t call_id = 0;
    std::uint64_t number = 0;
    std::string bytes;

    bool operator==(chunk const&) const = default;
};

} // namespace endiveward::wire

#endif
