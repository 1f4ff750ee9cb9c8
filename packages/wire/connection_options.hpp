#ifndef ENDIVEWARD_WIRE_CONNECTION_OPTIONS_HPP
#define ENDIVEWARD_WIRE_CONNECTION_OPTIONS_HPP

#include "wire/types/cluster_key.hpp"

#include <chrono>
#include <cstddef>
#include <memory>

namespace endiveward::kernel
{
class i_random_source;
}

namespace endiveward::wire
{

class i_connection_observer;
class i_local_identity;
struct wire_counters;

/// What all connections of a process share.
struct connection_options
{
    cluster_key key;
    std::shared_ptr<i_local_identity const> identity;
    std::shared_ptr<kernel::i_random_source> random;
    std::shared_ptr<wire_counters> counters;
    std::shared_ptr<i_connection_observer> observer;
    /// Limit for TCP connect and handshake together.
    std::chrono::milliseconds handshake_timeout{5000};
    /// Accepted connections whose peers are not authenticated yet. A peer takes
    /// up to 16 KiB; after a restart all processes connect at the same time.
    std::size_t max_handshakes = 512;
    /// Frames above this size close the connection.
    std::size_t max_frame_bytes = 16U << 20U;
    /// A receiver that lets this much pile up is disconnected.
    std::size_t max_pending_bytes = 64U << 20U;
};

} // namespace endiveward::wire

#endif
