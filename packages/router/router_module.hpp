#ifndef ENDIVEWARD_ROUTER_ROUTER_MODULE_HPP
#define ENDIVEWARD_ROUTER_ROUTER_MODULE_HPP

#include "kernel/i_module.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace endiveward::config
{
struct router_settings;
}

namespace endiveward::router
{

/// The router process: HTTP servers for callers and operators, connections to
/// agents and the relay of calls.
///
/// Needs the services `clock` (`kernel::i_clock const`), `random`
/// (`kernel::i_random_source`), `config_state` (`config::i_config_state`),
/// `placement` (`placement::i_placement`) and, if the platform provides them,
/// `vm_list` (`storage::i_vm_list`) and `store_follower`
/// (`config::change_log_poller`).
class router_module : public kernel::i_module
{
public:
    explicit router_module(config::router_settings settings);
    ~router_module() override;
    router_module(router_module const&) = delete;
    router_module& operator=(router_module const&) = delete;

    std::string_view name() const override { return "router"; }
    void register_services(kernel::service_registry& registry) override;
    void resolve_services(kernel::service_registry const& registry) override;
    /// Throws `std::runtime_error` if an address cannot be listened on.
    void init() override;
    void deinit() override;

    /// Whether the router has an up-to-date configuration and a connection to
    /// an agent, and is not draining.
    bool ready() const;
    std::size_t active_calls() const;
    /// Ports in use; valid after `init`.
    std::uint16_t caller_port() const;
    std::uint16_t operator_port() const;

    /// Makes `/readyz` answer 503; requests are still served.
    void announce_stop();
    /// Stops accepting connections and refuses new requests with `draining`.
    void close_listeners();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace endiveward::router

#endif
