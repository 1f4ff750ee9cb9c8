#ifndef ENDIVEWARD_GATEWAY_TYPES_ROUTE_TYPE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_ROUTE_TYPE_HPP

namespace endiveward::gateway
{

/// The kind of a route's requests, which determines how often a request may
/// run.
enum class route_type
{
    /// A plain call that may run more than once.
    idempotent,
    /// A plain call that runs at most once per attempt of the caller.
    at_most_once,
    /// A stream that runs at most once.
    stream,
    /// A stream that may be resumed at another endpoint after its last event.
    resumable_stream
};

constexpr bool is_stream(route_type type)
{
    return type == route_type::stream || type == route_type::resumable_stream;
}

constexpr bool is_retryable(route_type type)
{
    return type == route_type::idempotent ||
           type == route_type::resumable_stream;
}

} // namespace endiveward::gateway

#endif
