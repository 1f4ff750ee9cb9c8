#ifndef ENDIVEWARD_GATEWAY_TYPES_ROUTE_TYPE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_ROUTE_TYPE_HPP

namespace endiveward::gateway
{

/// How often a request may run.
enum class route_type
{
    /// A plain call that may run more than once.
    idempotent,
    /// A plain call that runs once at the most for each caller's attempt.
    at_most_once,
    /// A stream that runs once at the most.
    stream,
    /// A stream that another endpoint may continue after its last event.
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
