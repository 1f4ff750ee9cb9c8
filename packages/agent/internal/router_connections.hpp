#ifndef ENDIVEWARD_AGENT_ROUTER_CONNECTIONS_HPP
#define ENDIVEWARD_AGENT_ROUTER_CONNECTIONS_HPP

#include "availability/part_quarantine.hpp"
#include "kernel/i_clock.hpp"
#include "wire/i_connection_observer.hpp"
#include "wire/types/message.hpp"

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <set>

namespace endiveward::config
{
class i_config_state;
}

namespace endiveward::agent
{

class agent_metrics;
class call_executor;
class load_reporter;

/// Handles the connections of routers: passes calls to the executor and
/// exchanges configuration and heartbeats. Used on the traffic thread.
class router_connections : public wire::i_connection_observer
{
    std::shared_ptr<kernel::i_clock const> clock_;
    std::shared_ptr<call_executor> executor_;
    std::shared_ptr<config::i_config_state> configuration_;
    std::shared_ptr<load_reporter> load_;
    std::shared_ptr<agent_metrics> metrics_;

public:
    using connection_ptr = std::shared_ptr<wire::i_connection>;

    router_connections(std::shared_ptr<kernel::i_clock const> clock,
                       std::shared_ptr<call_executor> executor,
                       std::shared_ptr<config::i_config_state> configuration,
                       std::shared_ptr<load_reporter> load,
                       std::shared_ptr<agent_metrics> metrics);

    void on_open(connection_ptr const& conn) override;
    void on_message(connection_ptr const& conn, wire::message msg) override;
    void on_closed(connection_ptr const& conn,
                   kernel::error const& reason) override;

    void broadcast_heartbeat();
    /// Notifies all routers, including those that connect later.
    void announce_draining();
    void close_all();
    /// Thread-safe.
    std::size_t size() const { return size_.load(); }

private:
    void handle(connection_ptr const& conn, wire::invoke& msg);
    void handle(connection_ptr const& conn, wire::chunk_ack const& msg);
    void handle(connection_ptr const& conn, wire::cancel const& msg);
    void handle(connection_ptr const& conn, wire::resume const& msg);
    void handle(connection_ptr const& conn, wire::heartbeat const& msg);
    void handle(connection_ptr const& conn, wire::config_request const& msg);
    void handle(connection_ptr const& conn, wire::config_update const& msg);
    void handle(connection_ptr const& conn, wire::part_report const& msg);
    /// Message types that routers do not send to agents; counted and dropped.
    template <typename T>
    void handle(connection_ptr const& conn, T const& msg);
    void request_newer_config(connection_ptr const& conn,
                              std::uint64_t peer_version);
    wire::heartbeat make_heartbeat() const;
    void update_size();

    std::set<connection_ptr> connections_;
    /// The highest configuration version requested from each router.
    std::map<connection_ptr, kernel::config_version> requested_versions_;
    std::atomic<std::size_t> size_{0};
    bool draining_ = false;
    /// What routers have learned about crashes of endpoints, for those that
    /// connect later.
    availability::part_quarantine crashes_;
};

} // namespace endiveward::agent

#endif
