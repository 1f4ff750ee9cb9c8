#include "endiveward/process_services_module.hpp"

#include "config/config_state.hpp"
#include "kernel/secure_random_source.hpp"
#include "kernel/service_registry.hpp"
#include "kernel/system_clock.hpp"
#include "placement/placement.hpp"

namespace endiveward::app
{

process_services_module::process_services_module(
    config::router_settings settings)
    : settings_(std::move(settings))
{
}

void process_services_module::register_services(
    kernel::service_registry& registry)
{
    auto const clock = std::make_shared<kernel::system_clock>();
    registry.add<kernel::i_clock const>("clock", clock);
    registry.add<kernel::i_random_source>(
        "random", std::make_shared<kernel::secure_random_source>());
    registry.add<config::i_config_state>(
        "config_state", std::make_shared<config::config_state>());
    placement::placement_options options;
    options.recompute_weight = settings_.recompute_weight;
    options.candidates = settings_.candidates;
    options.prefill_bytes_per_second = settings_.prefill_bytes_per_second;
    registry.add<placement::i_placement>(
        "placement", std::make_shared<placement::placement>(
                         clock, settings_.common.region, options));
}

} // namespace endiveward::app
