#ifndef ENDIVEWARD_GATEWAY_QUOTA_WATCH_HPP
#define ENDIVEWARD_GATEWAY_QUOTA_WATCH_HPP

#include "gateway/types/quota_ticket.hpp"
#include "kernel/i_clock.hpp"
#include "quota/quota_table.hpp"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace endiveward::observe
{
class decision_log;
}

namespace endiveward::gateway
{

class fact_exchange;
class gateway_metrics;
class header_list;
class routing_table;
struct header_field_names;
struct workspace_entry;

/// Tells which workspaces are over the limits that all routers use together,
/// and shares this router's use with the others. Without limits it states
/// nothing. Used on the traffic thread.
class quota_watch
{
public:
    /// `router` is the same after a restart of the process.
    quota_watch(asio::io_context& context, kernel::i_clock const& clock,
                fact_exchange& facts, gateway_metrics& metrics,
                observe::decision_log& log, std::uint64_t router);

    void apply(routing_table const& table);
    /// Number of router processes in the deployment.
    void set_processes(std::size_t n);
    void stop();

    /// `workspace` is null for a request that belongs to none.
    quota_ticket ticket_for(workspace_entry const* workspace,
                            header_list const& headers,
                            header_field_names const& names) const;
    /// Returns when the caller may return if the workspace is over its limit.
    /// Empty for a request that was sent before.
    std::optional<std::chrono::milliseconds> check(quota_ticket const& it);
    /// Counts a request once.
    void on_sent(quota_ticket& it);
    /// The request has certainly not run.
    void give_back(quota_ticket& it);

private:
    struct refusals
    {
        std::string workspace;
        std::size_t requests = 0;
        double cost = 0;
    };

    void plan_tick();
    void tick();
    void log_refusals();

    kernel::i_clock const& clock_;
    fact_exchange& facts_;
    gateway_metrics& metrics_;
    observe::decision_log& log_;
    quota::quota_table quotas_;
    std::unordered_map<quota::workspace_key, refusals> refused_;
    kernel::steady_time last_log_{};
    double share_ = 1;
    asio::steady_timer timer_;
    bool is_ticking_ = false;
};

} // namespace endiveward::gateway

#endif
