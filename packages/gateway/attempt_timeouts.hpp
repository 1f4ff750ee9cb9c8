#ifndef ENDIVEWARD_GATEWAY_ATTEMPT_TIMEOUTS_HPP
#define ENDIVEWARD_GATEWAY_ATTEMPT_TIMEOUTS_HPP

#include <chrono>

namespace endiveward::gateway
{

struct route;

/// How long a retryable request waits for the first byte of a response before
/// it is sent to another endpoint. `expected` is the estimated time to the
/// first byte; `endpoint_stalled` is true if the endpoint sends no output to
/// any request.
std::chrono::milliseconds first_byte_timeout(route const& target,
                                             std::chrono::milliseconds expected,
                                             bool endpoint_stalled);

/// The same for the gap between two events of a stream.
std::chrono::milliseconds event_gap_timeout(route const& target,
                                            bool endpoint_stalled);

} // namespace endiveward::gateway

#endif
