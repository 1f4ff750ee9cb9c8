#ifndef ENDIVEWARD_ROUTER_REQUEST_PARSER_HPP
#define ENDIVEWARD_ROUTER_REQUEST_PARSER_HPP

#include "kernel/types/result.hpp"
#include "router/types/call_request.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace endiveward::config
{
struct service_entry;
struct workspace_entry;
} // namespace endiveward::config

namespace endiveward::router
{

struct caller_request;

struct request_limits
{
    std::size_t max_body_bytes = 8U << 20U;
    std::size_t max_header_bytes = 64U << 10U;
    std::chrono::milliseconds default_deadline{60'000};
    std::chrono::milliseconds max_deadline{600'000};
};

/// Checks the sizes of the body and the headers and the idempotency key. Fails
/// with `body_too_large` or `invalid_request`.
kernel::result<kernel::done> check_request(caller_request const& request,
                                           request_limits const& limits);

/// Parses a completion request; `chat` selects the format of chat completions.
kernel::result<call_request>
parse_completion(caller_request const& request,
                 config::workspace_entry const& workspace, bool chat,
                 request_limits const& limits);

/// Parses a call of `/services/<name>/...`. `service` is null if the
/// configuration does not list it.
kernel::result<call_request> parse_service_call(
    caller_request const& request, config::workspace_entry const& workspace,
    config::service_entry const* service, request_limits const& limits);

/// Returns the `<name>` of `/services/<name>/...`, or an empty string.
std::string_view service_name_of(std::string_view target);

/// Returns the token of `Authorization: Bearer <token>`, or an empty string.
std::string_view bearer_token_of(caller_request const& request);

/// Whether a request ID that a caller sent can be used.
bool is_valid_request_id(std::string_view id);

} // namespace endiveward::router

#endif
