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

/// What the gateway adds to a request on its way to an endpoint.
struct forward_fields
{
    kernel::endpoint_id endpoint;
    std::optional<kernel::workspace_id> workspace;
    std::chrono::milliseconds time_left{0};
    /// The caller's resumption is passed on only where streams are resumed.
    bool forwards_last_event_id = false;
    /// The event after which another endpoint continues a stream.
    std::optional<std::uint64_t> resume_after;
    std::string cache_salt;
    weights::weight_version version = 0;
    std::optional<int> priority;
    kv_route kv;
};

/// The bytes of a request for an endpoint: method, target, body and the
/// caller's fields unchanged, but for those of one connection and those that
/// only the gateway sets.
std::string build_request(http_request const& request,
                          forward_fields const& fields,
                          header_field_names const& names);

/// Whether a field concerns one connection only.
bool is_connection_field(std::string_view name, header_list const& headers);

} // namespace endiveward::gateway

#endif
