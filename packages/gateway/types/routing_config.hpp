#ifndef ENDIVEWARD_GATEWAY_TYPES_ROUTING_CONFIG_HPP
#define ENDIVEWARD_GATEWAY_TYPES_ROUTING_CONFIG_HPP

#include "gateway/types/caller_limits.hpp"
#include "gateway/types/route.hpp"
#include "gateway/types/service.hpp"
#include "gateway/types/workspace_entry.hpp"

#include <vector>

namespace endiveward::gateway
{

/// One version of the operator's configuration.
struct routing_config
{
    kernel::config_version version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<workspace_entry> workspaces;
    caller_limits limits;
    /// Whether callers need keys. Without workspaces, no key is valid then.
    bool needs_keys = false;
};

} // namespace endiveward::gateway

#endif
