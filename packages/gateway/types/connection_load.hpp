#ifndef ENDIVEWARD_GATEWAY_TYPES_CONNECTION_LOAD_HPP
#define ENDIVEWARD_GATEWAY_TYPES_CONNECTION_LOAD_HPP

#include "kernel/i_clock.hpp"

#include <cstddef>
#include <string_view>

namespace endiveward::gateway
{

/// What happens on a caller's connection, in the order in which connections
/// are closed if there are too many.
enum class connection_activity
{
    /// The last response was written; its caller may read it.
    lingering,
    /// The caller has not sent anything.
    silent,
    /// A request has begun to arrive.
    receiving,
    /// A response waits for its caller to read.
    unread,
    /// A response was read, and no request follows.
    idle,
    /// A request is in progress.
    serving
};

std::string_view to_text(connection_activity activity);

struct connection_load
{
    connection_activity activity = connection_activity::silent;
    /// When the request began to arrive, or when anything happened last.
    kernel::steady_time since{};
    /// Bytes that the connection makes the process hold.
    std::size_t bytes = 0;
};

} // namespace endiveward::gateway

#endif
