#ifndef ENDIVEWARD_GATEWAY_TYPES_ROUTE_KIND_HPP
#define ENDIVEWARD_GATEWAY_TYPES_ROUTE_KIND_HPP

namespace endiveward::gateway
{

/// The kind of a route's requests, which determines how often a request may
/// run.
enum class route_kind
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

constexpr bool is_stream(route_kind kind)
{
    return kind == route_kind::stream || kind == route_kind::resumable_stream;
}

constexpr bool is_retryable(route_kind kind)
{
    return kind == route_kind::idempotent ||
           kind == route_kind::resumable_stream;
}

} // namespace endiveward::gateway

#endif
