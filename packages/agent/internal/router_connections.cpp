#include "agent/internal/router_connections.hpp"

#include "agent/internal/agent_metrics.hpp"
#include "agent/internal/call_executor.hpp"
#include "agent/internal/load_reporter.hpp"
#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "wire/i_connection.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>
#include <utility>

namespace endiveward::agent
{

router_connections::router_connections(
    std::shared_ptr<kernel::i_clock const> clock,
    std::shared_ptr<call_executor> executor,
    std::shared_ptr<config::i_config_state> configuration,
    std::shared_ptr<load_reporter> load, std::shared_ptr<agent_metrics> metrics)
    : clock_(std::move(clock))
    , executor_(std::move(executor))
    , configuration_(std::move(configuration))
    , load_(std::move(load))
    , metrics_(std::move(metrics))
{
}

void router_connections::on_open(connection_ptr const& conn)
{
    connections_.insert(conn);
    update_size();
    request_newer_config(conn, conn->peer().config_version);
    if (draining_)
        conn->send(wire::draining{});
    auto const known = crashes_.snapshot(clock_->now());
    if (!known.empty() && conn->peer().accepts_part_reports)
        conn->send(known);
}

void router_connections::on_message(connection_ptr const& conn,
                                    wire::message msg)
{
    std::visit([&](auto& it) { handle(conn, it); }, msg);
}

void router_connections::on_closed(connection_ptr const& conn,
                                   kernel::error const&)
{
    connections_.erase(conn);
    requested_versions_.erase(conn);
    update_size();
    executor_->on_connection_closed(conn);
}

void router_connections::broadcast_heartbeat()
{
    auto const msg = make_heartbeat();
    for (auto const& it : connections_)
        it->send(msg);
}

void router_connections::announce_draining()
{
    draining_ = true;
    for (auto const& it : connections_)
        it->send(wire::draining{});
}

void router_connections::close_all()
{
    for (auto const& it : connections_)
        it->close();
}

void router_connections::handle(connection_ptr const& conn, wire::invoke& msg)
{
    executor_->on_invoke(conn, std::move(msg));
}

void router_connections::handle(connection_ptr const& conn,
                                wire::chunk_ack const& msg)
{
    executor_->on_ack(conn, msg);
}

void router_connections::handle(connection_ptr const& conn,
                                wire::cancel const& msg)
{
    executor_->on_cancel(conn, msg);
}

void router_connections::handle(connection_ptr const& conn,
                                wire::resume const& msg)
{
    executor_->on_resume(conn, msg);
}

void router_connections::handle(connection_ptr const& conn,
                                wire::heartbeat const& msg)
{
    if (msg.probe)
        conn->send(make_heartbeat());
    request_newer_config(conn, msg.config_version);
}

void router_connections::handle(connection_ptr const& conn,
                                wire::config_request const& msg)
{
    conn->send(configuration_->update_since(msg.known_version));
}

void router_connections::handle(connection_ptr const& conn,
                                wire::config_update const& msg)
{
    // The executor compares with the version in force, so it is also notified
    // after an update that could not be applied.
    configuration_->apply(msg);
    executor_->on_configuration(conn);
}

/// Not all routers have connections to each other, but all have one to the
/// agents of their region.
void router_connections::handle(connection_ptr const& conn,
                                wire::part_report const& msg)
{
    crashes_.on_report(msg, clock_->now());
    crashes_.take_news();
    for (auto const& it : connections_)
    {
        if (it != conn && it->peer().accepts_part_reports)
            it->send(msg);
    }
}

template <typename T>
void router_connections::handle(connection_ptr const&, T const&)
{
    metrics_->dropped_messages.Increment();
}

void router_connections::request_newer_config(connection_ptr const& conn,
                                              std::uint64_t peer_version)
{
    auto const own_version = configuration_->current()->version();
    auto& requested_version = requested_versions_[conn];
    // The hello and the first heartbeat carry the same version. It is requested
    // once, because an update may be a snapshot of several megabytes.
    if (peer_version <= std::max(own_version, requested_version))
        return;
    requested_version = peer_version;
    conn->send(wire::config_request{own_version});
}

wire::heartbeat router_connections::make_heartbeat() const
{
    auto load = load_->report();
    // Recent prefix levels are only useful alongside calls. On idle connections
    // they would exceed the budget for control traffic.
    load.recent_levels.clear();
    return {configuration_->current()->version(), std::move(load), false};
}

void router_connections::update_size()
{
    size_ = connections_.size();
    metrics_->connections.Set(static_cast<double>(connections_.size()));
}

} // namespace endiveward::agent
