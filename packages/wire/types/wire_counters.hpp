#ifndef ENDIVEWARD_WIRE_TYPES_WIRE_COUNTERS_HPP
#define ENDIVEWARD_WIRE_TYPES_WIRE_COUNTERS_HPP

#include <atomic>
#include <cstdint>

namespace endiveward::wire
{

/// Traffic of all connections of a process, counted at the socket.
struct wire_counters
{
    std::atomic<std::uint64_t> connections_opened{0};
    std::atomic<std::uint64_t> connections_closed{0};
    std::atomic<std::uint64_t> handshakes_failed{0};
    /// Frames with a wrong tag, sequence number or size.
    std::atomic<std::uint64_t> frames_rejected{0};
    /// Bytes of frames that belong to calls.
    std::atomic<std::uint64_t> call_bytes_sent{0};
    std::atomic<std::uint64_t> call_bytes_received{0};
    /// Bytes of all other frames.
    std::atomic<std::uint64_t> control_bytes_sent{0};
    std::atomic<std::uint64_t> control_bytes_received{0};
};

} // namespace endiveward::wire

#endif
