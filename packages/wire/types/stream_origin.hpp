#ifndef ENDIVEWARD_WIRE_TYPES_STREAM_ORIGIN_HPP
#define ENDIVEWARD_WIRE_TYPES_STREAM_ORIGIN_HPP

#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace endiveward::wire
{

/// Where a stream began.
struct stream_origin
{
    /// Key of the request that began the stream, the same in all processes.
    std::uint64_t stream = 0;
    kernel::service_id service;
    kernel::software_version software;
    /// How long the stream may still be taken up.
    std::chrono::milliseconds lifetime{0};

    bool operator==(stream_origin const&) const = default;
};

/// Streams that a router has begun, for the agents that keep their origins.
struct stream_origins
{
    std::vector<stream_origin> origins;

    bool operator==(stream_origins const&) const = default;
};

} // namespace endiveward::wire

#endif
