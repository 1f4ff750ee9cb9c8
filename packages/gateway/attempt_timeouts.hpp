#ifndef ENDIVEWARD_GATEWAY_ATTEMPT_TIMEOUTS_HPP
#define ENDIVEWARD_GATEWAY_ATTEMPT_TIMEOUTS_HPP

#include <chrono>

namespace endiveward::gateway
{

struct route;

/// How long a request that may run again waits for the first byte of an answer
/// before it is sent to another endpoint. `expected` is the time in which the
/// endpoint was expected to begin its answer; `endpoint_silent` says that it
/// sends nothing to anyone.
std::chrono::milliseconds first_byte_timeout(route const& target,
                                             std::chrono::milliseconds expected,
                                             bool endpoint_stalled);

/// The same between two events of a stream.
std::chrono::milliseconds event_gap_timeout(route const& target,
                                            bool endpoint_stalled);

} // namespace endiveward::gateway

#endif
