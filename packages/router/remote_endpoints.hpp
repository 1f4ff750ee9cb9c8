#ifndef ENDIVEWARD_ROUTER_REMOTE_ENDPOINTS_HPP
#define ENDIVEWARD_ROUTER_REMOTE_ENDPOINTS_HPP

#include "kernel/i_clock.hpp"
#include "router/types/listed_agent.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace endiveward::config
{
struct routing_key;
}

namespace endiveward::router
{

/// Selects the endpoints of other regions that this router connects to. No I/O.
/// Safe for concurrent use.
class remote_endpoints
{
    std::shared_ptr<kernel::i_clock const> clock_;

public:
    static constexpr std::size_t max_per_routing_key = 3;
    static constexpr std::chrono::seconds idle_limit{60};
    /// An endpoint that could not be reached is not selected again for this
    /// long.
    static constexpr std::chrono::seconds failure_backoff{5};

    explicit remote_endpoints(std::shared_ptr<kernel::i_clock const> clock);

    /// Replaces the agents of other regions known from the VM list; leaving
    /// ones are not included.
    void set_listed(std::vector<listed_agent> const& agents);
    /// Returns the allowed endpoints to connect to for traffic without an
    /// eligible endpoint in this region, at most `max_per_routing_key`. All
    /// routers select the same ones, so that cached prefixes are shared. Counts
    /// as a use of these endpoints.
    std::vector<listed_agent>
    choose(config::routing_key const& routing,
           std::vector<kernel::endpoint_id> const& allowed);
    /// The endpoint could not be reached or its connection was lost.
    void on_failed(kernel::endpoint_id const& endpoint);
    /// Whether no traffic has used the endpoint for `idle_limit`.
    bool is_idle(kernel::endpoint_id const& endpoint);

private:
    struct choice
    {
        std::vector<kernel::endpoint_id> endpoints;
        kernel::steady_time last_used;
    };

    bool is_backing_off(kernel::endpoint_id const& endpoint) const;
    void drop_idle();

    std::mutex mutex_;
    std::map<std::string, listed_agent> listed_;
    std::map<std::string, kernel::steady_time> failed_;
    std::map<std::string, choice> choices_;
};

} // namespace endiveward::router

#endif
