#include "endiveward/process_services_module.hpp"

#include "config/change_log_poller.hpp"
#include "config/config_state.hpp"
#include "kernel/secure_random_source.hpp"
#include "kernel/service_registry.hpp"
#include "kernel/system_clock.hpp"
#include "placement/placement.hpp"
#include "storage/http_client.hpp"
#include "storage/http_object_store.hpp"
#include "storage/http_table.hpp"
#include "storage/http_vm_list.hpp"

namespace endiveward::app
{

struct process_services_module::follower_services
{
    std::shared_ptr<config::i_config_state> state;
    std::shared_ptr<kernel::i_clock const> clock;
    std::shared_ptr<kernel::i_random_source> random;
};

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
    auto const random = std::make_shared<kernel::secure_random_source>();
    registry.add<kernel::i_random_source>("random", random);
    auto const state = std::make_shared<config::config_state>();
    registry.add<config::i_config_state>("config_state", state);
    register_platform(registry, {state, clock, random});
    placement::placement_options options;
    options.recompute_weight = settings_.recompute_weight;
    options.candidates = settings_.candidates;
    options.prefill_bytes_per_second = settings_.prefill_bytes_per_second;
    registry.add<placement::i_placement>(
        "placement", std::make_shared<placement::placement>(
                         clock, settings_.common.region, options));
}

void process_services_module::register_platform(
    kernel::service_registry& registry, follower_services const& services) const
{
    auto const& common = settings_.common;
    auto const client = std::make_shared<storage::http_client>();
    if (!common.vm_list_url.empty())
        registry.add<storage::i_vm_list>(
            "vm_list", std::make_shared<storage::http_vm_list>(
                           client, common.vm_list_url));
    if (common.table_url.empty())
        return;
    config::change_log_reader reader(
        std::make_shared<storage::http_table>(client, common.table_url),
        std::make_shared<storage::http_object_store>(client,
                                                     common.object_store_url),
        common.platform_timeout);
    config::change_log_poller_options options;
    options.interval = settings_.store_poll_interval;
    registry.add("store_follower",
                 std::make_shared<config::change_log_poller>(
                     std::move(reader), services.state, services.clock,
                     services.random, std::move(options)));
}

} // namespace endiveward::app
