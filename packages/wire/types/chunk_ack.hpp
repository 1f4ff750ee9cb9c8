#ifndef ENDIVEWARD_WIRE_TYPES_CHUNK_ACK_HPP
#define ENDIVEWARD_WIRE_TYPES_CHUNK_ACK_HPP

#include <cstdint>

namespace endiveward::wire
{

/// Releases buffered chunks below `next`.
struct chunk_ack
{
    std::uint64_t call_id = 0;
    std::uint64_t next = 0;

    bool operator==(chunk_ack const&) const = default;
};

} // namespace endiveward::wire

#endif
