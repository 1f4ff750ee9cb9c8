#ifndef ENDIVEWARD_ROUTER_I_AGENT_DIRECTORY_HPP
#define ENDIVEWARD_ROUTER_I_AGENT_DIRECTORY_HPP

#include "kernel/types/identifiers.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace endiveward::config
{
struct routing_key;
}

namespace endiveward::router
{

class peer_channel;

/// Directory of the connections to agents, by endpoint. Safe for concurrent
/// use.
class i_agent_directory
{
public:
    using channel_handler = std::function<void(std::shared_ptr<peer_channel>)>;

    virtual ~i_agent_directory() = default;

    /// Returns the open connection, or null if there is none.
    virtual std::shared_ptr<peer_channel>
    find(kernel::endpoint_id const& endpoint) const = 0;
    /// Calls the handler once with the open connection, immediately or when one
    /// opens. A handler whose owner has expired is dropped.
    virtual void when_open(kernel::endpoint_id const& endpoint,
                           std::weak_ptr<void> owner,
                           channel_handler const& handler) = 0;
    /// Connects to allowed endpoints of other regions, at most three for each
    /// `config::routing_key`, and closes the connections when they have been
    /// idle for a minute. Returns the endpoints whose connections are not open
    /// yet.
    virtual std::vector<kernel::endpoint_id> connect_to_remote_endpoints(
        config::routing_key const& routing,
        std::vector<kernel::endpoint_id> const& allowed) = 0;
    /// Takes the endpoint out of rotation until its agent answers a probe.
    virtual void mark_suspect(kernel::endpoint_id const& endpoint) = 0;
    /// Takes the endpoint out of rotation because its agent is draining and
    /// refuses new calls.
    virtual void on_draining(kernel::endpoint_id const& endpoint) = 0;
    /// Calls the handler when the configuration in force has reached the
    /// version, fetching it from the endpoint's agent if necessary.
    virtual void catch_up(kernel::endpoint_id const& endpoint,
                          kernel::config_version version,
                          std::weak_ptr<void> owner,
                          std::function<void()> handler) = 0;
};

} // namespace endiveward::router

#endif
