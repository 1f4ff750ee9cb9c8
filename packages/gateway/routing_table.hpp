#ifndef ENDIVEWARD_GATEWAY_ROUTING_TABLE_HPP
#define ENDIVEWARD_GATEWAY_ROUTING_TABLE_HPP

#include "gateway/types/routing_config.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiveward::gateway
{

/// One version of the configuration, indexed for lookups. Immutable.
class routing_table
{
public:
    explicit routing_table(routing_config config);
    routing_table(routing_table const&) = delete;
    routing_table& operator=(routing_table const&) = delete;

    kernel::config_version version() const { return config_.version; }
    caller_limits const& limits() const { return config_.limits; }
    routing_config const& config() const { return config_; }

    /// Returns the route of this host with the longest matching path prefix, or
    /// null. The host may include a port and the target a query.
    route const* match(std::string_view host, std::string_view target) const;
    bool needs_keys() const { return config_.needs_keys; }
    /// Returns the workspace of the key, or null.
    workspace_entry const* workspace_of(std::string_view key) const;
    /// Whether workspaces share capacity that is scarce, so that requests wait
    /// for it in order.
    bool shares_capacity() const;
    /// The workspace's share of capacity relative to others.
    double weight_of(workspace_entry const& workspace) const;
    /// The group of workspaces that share KV cache with this one, as part of a
    /// cache salt. `workspace` is null for requests without a key, and may be
    /// an entry of an earlier version of the configuration.
    std::string cache_group_of(workspace_entry const* workspace) const;
    service const* find_service(kernel::service_id const& id) const;
    /// The KV cache stores as `IP:PORT`.
    std::vector<std::string> const& kv_stores() const { return kv_stores_; }

private:
    struct text_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };

    routing_config config_;
    std::vector<std::string> kv_stores_;
    std::string shared_cache_group_;
    /// Routes by lower-case host, in descending order of prefix length.
    std::unordered_map<std::string, std::vector<route const*>, text_hash,
                       std::equal_to<>>
        by_host_;
    std::unordered_map<std::string, workspace_entry const*, text_hash,
                       std::equal_to<>>
        by_key_;
    std::unordered_map<std::string, workspace_entry const*> by_id_;
};

/// Selects the service for a request by the weights of the route's shares. The
/// same request id always gives the same service.
kernel::service_id const* service_for(route const& chosen,
                                      std::string_view request_id);

/// Whether the route sends requests to this service.
bool sends_to(route const& chosen, kernel::service_id const& service);

} // namespace endiveward::gateway

#endif
