#ifndef ENDIVEWARD_GATEWAY_RESPONSE_RULES_HPP
#define ENDIVEWARD_GATEWAY_RESPONSE_RULES_HPP

#include "gateway/http/header_list.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace endiveward::gateway
{

struct header_field_names;
struct response_head;

/// Whether a successful response is proven to be the endpoint's answer to this
/// request: it must carry the signature and the request id, and no content
/// encoding.
bool is_valid_response(response_head const& head,
                       header_field_names const& names);

/// Whether the endpoint states that it did not run the request. A refusal that
/// names no request may be one of an earlier request.
bool is_refusal(response_head const& head, header_field_names const& names);

/// Whether the status tells callers that the request has not run. Only a
/// refusal may be forwarded with it.
bool promises_not_run(int status);

/// Returns the fields of an endpoint's answer that its caller gets.
header_list answer_headers(response_head const& head,
                           header_field_names const& names);

/// Returns the fields of an answer of this process itself. `request_id` may be
/// empty.
header_list
local_answer_headers(std::string const& request_id,
                     std::optional<std::chrono::milliseconds> retry_after,
                     header_field_names const& names);

} // namespace endiveward::gateway

#endif
