#ifndef ENDIVEWARD_GATEWAY_TYPES_REQUEST_WORK_HPP
#define ENDIVEWARD_GATEWAY_TYPES_REQUEST_WORK_HPP

#include <chrono>

namespace endiveward::gateway
{

/// How long a request takes until its first output at an endpoint of nominal
/// speed.
struct request_work
{
    using duration = std::chrono::duration<double, std::milli>;

    /// The work that is pending when the request is sent.
    duration queued{0};
    /// The work of the request itself.
    duration own{0};

    duration total() const { return queued + own; }
};

} // namespace endiveward::gateway

#endif
