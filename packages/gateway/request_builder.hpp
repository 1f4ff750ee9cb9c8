#ifndef ENDIVEWARD_GATEWAY_REQUEST_BUILDER_HPP
#define ENDIVEWARD_GATEWAY_REQUEST_BUILDER_HPP

#include "gateway/http/http_request.hpp"
#include "gateway/types/header_field_names.hpp"
#include "gateway/types/kv_route.hpp"
#include "kernel/types/identifiers.hpp"
#include "weights/types/weight_version.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiveward::gateway
{

/// The header fields that the gateway adds to a forwarded request.
struct forward_fields
{
    kernel::endpoint_id endpoint;
    std::optional<kernel::workspace_id> workspace;
    std::chrono::milliseconds time_left{0};
    /// Whether the caller's own last event id is forwarded, which is the case
    /// only for resumable streams.
    bool forwards_last_event_id = false;
    /// The last forwarded event, if the stream is resumed at another endpoint.
    std::optional<std::uint64_t> resume_after;
    std::string cache_salt;
    weights::weight_version version = 0;
    std::optional<int> priority;
    kv_route kv;
};

/// Serializes the head of a request for an endpoint; the body follows it as it
/// is. Method, target and the caller's header fields are unchanged, except for
/// hop-by-hop fields and those that only the gateway sets.
std::string build_request_head(http_request const& request,
                               forward_fields const& fields,
                               header_field_names const& names);

} // namespace endiveward::gateway

#endif
