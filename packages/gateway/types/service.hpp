#ifndef ENDIVEWARD_GATEWAY_TYPES_SERVICE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_SERVICE_HPP

#include "kernel/types/identifiers.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace endiveward::gateway
{

/// What the model engines of a service have.
struct engine_properties
{
    /// Requests in a batch.
    std::uint32_t slots = 0;
    /// Memory for running requests and cached parts.
    std::uint64_t kv_capacity_tokens = 0;
    std::uint64_t kv_token_bytes = 0;
};

/// A store of KV cache, which serves no requests.
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
    /// Connections of all callers together that one endpoint accepts.
    std::uint32_t max_connections = 0;
    std::optional<engine_properties> engine;
    std::optional<kv_store_properties> kv_store;
};

} // namespace endiveward::gateway

#endif
