#ifndef ENDIVEWARD_ROUTER_PEER_CONNECTIONS_HPP
#define ENDIVEWARD_ROUTER_PEER_CONNECTIONS_HPP

#include "kernel/types/identifiers.hpp"
#include "kernel/types/socket_address.hpp"
#include "observe/i_state_source.hpp"
#include "router/i_agent_directory.hpp"
#include "wire/i_connection_observer.hpp"
#include "wire/types/part_report.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace endiveward::config
{
class i_config_state;
}

namespace endiveward::kernel
{
class i_clock;
class i_random_source;
class thread_pool;
} // namespace endiveward::kernel

namespace endiveward::placement
{
class i_placement;
}

namespace endiveward::storage
{
class i_vm_list;
}

namespace endiveward::wire
{
struct connection_options;
}

namespace endiveward::router
{

struct peer_connections_options
{
    /// A single thread for the timers and for processing the VM list.
    std::shared_ptr<kernel::thread_pool> control;
    /// Threads that run the connections.
    std::shared_ptr<kernel::thread_pool> traffic;
    std::shared_ptr<kernel::i_clock const> clock;
    std::shared_ptr<kernel::i_random_source> random;
    std::shared_ptr<config::i_config_state> configuration;
    std::shared_ptr<placement::i_placement> placement;
    /// Null if the platform has no VM list.
    std::shared_ptr<storage::i_vm_list> vm_list;
    /// Name of this process.
    kernel::process_id self;
    kernel::region_id region;
    std::vector<kernel::socket_address> seeds;
    std::chrono::milliseconds vm_poll_interval{3000};
    std::chrono::milliseconds vm_timeout{1000};
    std::chrono::milliseconds heartbeat_interval{30'000};
    std::chrono::milliseconds gossip_interval{1000};
    /// Interval at which a few random processes are probed for their
    /// configuration version; 0 disables probing.
    std::chrono::milliseconds probe_interval{0};
    /// Called for each dropped message, i.e. one that belongs to no open call
    /// or that routers do not handle; may be empty.
    std::function<void()> on_dropped;
    /// Called for each configuration update pushed to another process; may be
    /// empty.
    std::function<void()> on_update_sent;
    /// Called with the configuration version of a peer when a connection to or
    /// from it opens; may be empty.
    std::function<void(kernel::config_version)> on_hello;
    /// Called with the configuration version that a connected process reports;
    /// may be empty.
    std::function<void(kernel::config_version)> on_reported;
    /// Called with what other routers have learned about crashes of endpoints;
    /// may be empty.
    std::function<void(wire::part_report const&)> on_part_report;
};

/// Cluster membership: keeps one authenticated connection to each agent of the
/// region that is known from the seeds or the VM list, and reports to placement
/// which endpoints are available. Connects to agents of other regions and to
/// other routers on demand, and disseminates new configuration versions.
class peer_connections : public wire::i_connection_observer,
                         public i_agent_directory,
                         public observe::i_state_source
{
public:
    explicit peer_connections(peer_connections_options options);
    ~peer_connections() override;
    peer_connections(peer_connections const&) = delete;
    peer_connections& operator=(peer_connections const&) = delete;

    /// Sets the address on which this process accepts connections of its peers.
    /// Call before `start`.
    void set_own_address(kernel::socket_address const& address);
    /// Starts connecting. `wire_options` must have this object as its observer.
    void start(std::shared_ptr<wire::connection_options const> wire_options);
    /// Closes all connections and opens no new ones.
    void stop();
    /// Sends what this process has learned about crashes of endpoints to a few
    /// agents, the same for all routers, which pass it on to the others.
    void send_part_report(wire::part_report const& report);
    /// Number of open connections to agents.
    std::size_t open_agents() const;

    // wire::i_connection_observer
    void on_open(std::shared_ptr<wire::i_connection> const& conn) override;
    void on_message(std::shared_ptr<wire::i_connection> const& conn,
                    wire::message msg) override;
    void on_closed(std::shared_ptr<wire::i_connection> const& conn,
                   kernel::error const& reason) override;

    // i_agent_directory
    std::shared_ptr<peer_channel>
    find(kernel::endpoint_id const& endpoint) const override;
    void when_open(kernel::endpoint_id const& endpoint,
                   std::weak_ptr<void> owner,
                   channel_handler const& handler) override;
    std::vector<kernel::endpoint_id> connect_to_remote_endpoints(
        config::routing_key const& routing,
        std::vector<kernel::endpoint_id> const& allowed) override;
    void mark_suspect(kernel::endpoint_id const& endpoint) override;
    void on_draining(kernel::endpoint_id const& endpoint) override;
    void catch_up(kernel::endpoint_id const& endpoint,
                  kernel::config_version version, std::weak_ptr<void> owner,
                  std::function<void()> handler) override;

    // observe::i_state_source
    std::string_view section() const override { return "agents"; }
    nlohmann::json dump() const override;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace endiveward::router

#endif
