#ifndef ENDIVEWARD_GATEWAY_TYPES_SERVICE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_SERVICE_HPP

#include "kernel/types/identifiers.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace endiveward::gateway
{

/// Properties of the model engines of a service.
struct engine_properties
{
    /// Maximum number of requests in a batch.
    std::uint32_t slots = 0;
    /// Memory for running requests and cached prompt parts.
    std::uint64_t kv_capacity_tokens = 0;
    std::uint64_t kv_token_bytes = 0;
};

/// A KV cache store. It serves no requests.
struct kv_store_properties
{
    /// `IP:PORT`
    std::string address;
    kernel::zone_id zone;
    std::uint64_t capacity_tokens = 0;
};

/// A group of endpoints that serve the same requests.
struct service
{
    kernel::service_id id;
    /// Limit on the total number of connections to one endpoint.
    std::uint32_t max_connections = 0;
    std::optional<engine_properties> engine;
    std::optional<kv_store_properties> kv_store;
};

} // namespace endiveward::gateway

#endif
