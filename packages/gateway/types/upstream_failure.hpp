#ifndef ENDIVEWARD_GATEWAY_TYPES_UPSTREAM_FAILURE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_UPSTREAM_FAILURE_HPP

#include <string_view>

namespace endiveward::gateway
{

/// Why an endpoint did not send a complete response.
enum class upstream_failure
{
    /// The connection failed; the endpoint has not received the request.
    not_connected,
    /// The request was not sent, since it was no longer wanted when the
    /// connection was established.
    withdrawn,
    /// The connection ended before any byte of a response.
    no_answer,
    /// The received bytes are not an HTTP response.
    not_http,
    /// The response was truncated.
    truncated,
    /// The response belongs to another request or lacks the endpoint's
    /// signature.
    wrong_response
};

std::string_view to_text(upstream_failure failure);

} // namespace endiveward::gateway

#endif
