#ifndef ENDIVEWARD_AGENT_AGENT_CORE_HPP
#define ENDIVEWARD_AGENT_AGENT_CORE_HPP

#include "agent/internal/call_executor.hpp"
#include "config/types/agent_settings.hpp"
#include "observe/i_state_source.hpp"
#include "wire/connection_options.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio
{
class io_context;
}
namespace prometheus
{
class Registry;
}
namespace endiveward::admission
{
class claim_sweeper;
}
namespace endiveward::kernel
{
class thread_pool;
}
namespace endiveward::storage
{
class i_table;
}
namespace endiveward::wire
{
class acceptor;
}

namespace endiveward::agent
{

class cache_index_updater;
class drain_controller;
class load_poller;
class model_reconciler;
class periodic_task;
class router_connections;

/// Dependencies that other modules provide to the agent.
struct agent_dependencies
{
    std::shared_ptr<kernel::i_clock> clock;
    std::shared_ptr<kernel::i_random_source> random;
    /// Has a single thread, which runs all calls.
    std::shared_ptr<kernel::thread_pool> traffic;
    std::shared_ptr<prometheus::Registry> metrics;
    std::shared_ptr<config::i_config_state> configuration;
    std::shared_ptr<storage::i_table> table;
    /// Computes the `cache_salt` sent to the engine.
    std::function<std::string(wire::invoke const&)> cache_salt;
    /// Called once, on the traffic thread, when draining is complete.
    std::function<void()> on_drained;
};

/// Creates and connects the components of an agent process.
class agent_core
{
    agent_dependencies dependencies_;

public:
    agent_core(config::agent_settings settings,
               agent_dependencies dependencies);
    ~agent_core();
    agent_core(agent_core const&) = delete;
    agent_core& operator=(agent_core const&) = delete;

    /// Starts listening for routers and polling the endpoint. Returns the bound
    /// port.
    kernel::result<std::uint16_t> start();
    /// Closes all connections and stops polling. Must be called before the
    /// traffic thread stops.
    void stop();
    /// Refuses new calls and lets accepted ones finish.
    void drain();
    /// Whether the endpoint can accept calls. Thread-safe.
    bool ready() const;
    /// Number of queued and running calls. Thread-safe.
    std::size_t open_calls() const;
    std::shared_ptr<observe::i_state_source> state() const { return state_; }

private:
    void make_call_executor();
    void make_connections();
    void make_tasks();
    void make_reconciler();
    void publish_gauges() const;
    bool has_engine() const;
    asio::io_context& context() const;

    config::agent_settings const settings_;
    kernel::incarnation const incarnation_;
    std::shared_ptr<agent_metrics> metrics_;
    std::shared_ptr<admission::i_admission_queue> queue_;
    std::shared_ptr<admission::i_cache_index> cache_index_;
    std::shared_ptr<admission::i_idempotency_ledger> ledger_;
    std::shared_ptr<admission::claim_sweeper> sweeper_;
    std::shared_ptr<i_endpoint_client> endpoint_;
    std::shared_ptr<load_reporter> load_;
    std::shared_ptr<call_executor> executor_;
    std::shared_ptr<router_connections> connections_;
    std::shared_ptr<drain_controller> drain_;
    std::shared_ptr<load_poller> poller_;
    std::shared_ptr<model_reconciler> reconciler_;
    std::shared_ptr<cache_index_updater> cache_updater_;
    std::shared_ptr<observe::i_state_source> state_;
    std::shared_ptr<wire::connection_options> options_;
    std::unique_ptr<wire::acceptor> acceptor_;
    std::vector<std::shared_ptr<periodic_task>> tasks_;
};

} // namespace endiveward::agent

#endif
