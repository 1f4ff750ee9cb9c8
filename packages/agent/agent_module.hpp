#ifndef ENDIVEWARD_AGENT_AGENT_MODULE_HPP
#define ENDIVEWARD_AGENT_AGENT_MODULE_HPP

#include "config/types/agent_settings.hpp"
#include "kernel/i_module.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace endiveward::agent
{

class agent_core;

/// The agent that runs next to an endpoint and serves its calls. Requires the
/// registry entries `clock`, `random`, `traffic_pool` (one thread), `metrics`,
/// `config_state` and `table`, and a running traffic pool. Also runs the
/// operator listener.
class agent_module : public kernel::i_module
{
public:
    /// `on_drained` is called once, on the traffic thread.
    agent_module(config::agent_settings settings,
                 std::function<void()> on_drained);
    ~agent_module() override;

    std::string_view name() const override { return "agent"; }
    void register_services(kernel::service_registry&) override {}
    void resolve_services(kernel::service_registry const& registry) override;
    void init() override;
    void deinit() override;

    /// Refuses new calls and lets accepted ones finish. Thread-safe.
    void drain();
    /// Number of queued and running calls. Thread-safe.
    std::size_t open_calls() const;

private:
    class operator_listener;

    config::agent_settings const settings_;
    std::function<void()> on_drained_;
    std::unique_ptr<agent_core> core_;
    std::unique_ptr<operator_listener> operator_listener_;
};

} // namespace endiveward::agent

#endif
