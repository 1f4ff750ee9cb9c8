#ifndef ENDIVEWARD_GATEWAY_TYPES_UPSTREAM_FAILURE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_UPSTREAM_FAILURE_HPP

#include <string_view>

namespace endiveward::gateway
{

/// Why an endpoint gave no complete answer.
enum class upstream_failure
{
    /// No connection: the endpoint has not seen the request.
    not_connected,
    /// The connection ended before any byte of an answer.
    no_answer,
    /// The bytes received are no HTTP response.
    not_http,
    /// The answer broke off.
    cut_short,
    /// The answer belongs to another request or lacks the proof of its origin.
    not_ours
};

std::string_view to_text(upstream_failure failure);

} // namespace endiveward::gateway

#endif
