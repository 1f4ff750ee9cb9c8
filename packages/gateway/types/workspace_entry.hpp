#ifndef ENDIVEWARD_GATEWAY_TYPES_WORKSPACE_ENTRY_HPP
#define ENDIVEWARD_GATEWAY_TYPES_WORKSPACE_ENTRY_HPP

#include "kernel/types/identifiers.hpp"
#include "quota/types/limit.hpp"

#include <optional>
#include <string>
#include <vector>

namespace endiveward::gateway
{

/// A workspace with the keys of its callers.
struct workspace_entry
{
    kernel::workspace_id id;
    std::vector<std::string> keys;
    /// Overrides the route's priority; 0 is the highest.
    std::optional<int> priority;
    /// Whether the workspace shares no KV cache with others.
    bool isolated = false;
    /// Of all routers together.
    std::optional<quota::limit> limit = std::nullopt;
};

} // namespace endiveward::gateway

#endif
