#ifndef ENDIVEWARD_WIRE_TYPES_RESUME_HPP
#define ENDIVEWARD_WIRE_TYPES_RESUME_HPP

#include "kernel/types/hash128.hpp"

#include <cstdint>

namespace endiveward::wire
{

/// Continues a stream on a new connection from chunk `next`. The agent uses
/// `call_id` for the rest of the stream.
struct resume
{
    std::uint64_t call_id = 0;
    kernel::hash128 stream_id;
    std::uint64_t next = 0;

    bool operator==(resume const&) const = default;
};

} // namespace endiveward::wire

#endif
