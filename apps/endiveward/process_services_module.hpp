#ifndef ENDIVEWARD_ENDIVEWARD_PROCESS_SERVICES_MODULE_HPP
#define ENDIVEWARD_ENDIVEWARD_PROCESS_SERVICES_MODULE_HPP

#include "config/types/router_settings.hpp"
#include "kernel/i_module.hpp"

namespace endiveward::app
{

/// Registers the services that `router::router_module` needs.
class process_services_module : public kernel::i_module
{
public:
    explicit process_services_module(config::router_settings settings);

    std::string_view name() const override { return "process_services"; }
    void register_services(kernel::service_registry& registry) override;

private:
    struct follower_services;

    void register_platform(kernel::service_registry& registry,
                           follower_services const& services) const;

    config::router_settings const settings_;
};

} // namespace endiveward::app

#endif
