#ifndef ENDIVEWARD_GATEWAY_TYPES_QUOTA_TICKET_HPP
#define ENDIVEWARD_GATEWAY_TYPES_QUOTA_TICKET_HPP

#include "quota/types/charge.hpp"

#include <optional>

namespace endiveward::gateway
{

struct workspace_entry;

/// What a request counts for the limit of its workspace.
struct quota_ticket
{
    /// Null if the workspace has no limit.
    workspace_entry const* workspace = nullptr;
    quota::workspace_key key = 0;
    double cost = 0;
    /// Set while the request is counted.
    std::optional<quota::charge> charge;
};

} // namespace endiveward::gateway

#endif
