#include "agent/agent_module.hpp"

#include "agent/internal/agent_core.hpp"
#include "config/config_state_source.hpp"
#include "config/i_config_state.hpp"
#include "kernel/i_random_source.hpp"
#include "kernel/service_registry.hpp"
#include "kernel/thread_pool.hpp"
#include "observe/operator_server.hpp"
#include "placement/cache_namespace.hpp"
#include "storage/i_table.hpp"

#include <prometheus/registry.h>

#include <stdexcept>
#include <utility>

namespace endiveward::agent
{

namespace
{

std::string make_cache_salt(wire::invoke const& request)
{
    return placement::cache_namespace(request.workspace, request.model,
                                      request.version, {})
        .salt();
}

template <typename T>
void throw_if_failed(kernel::result<T> const& res)
{
    if (!kernel::ok(res))
        throw std::runtime_error(kernel::failure(res).message);
}

} // namespace

class agent_module::operator_listener
{
public:
    operator_listener(
        config::common_settings const& settings, agent_core const& core,
        std::shared_ptr<config::i_config_state const> configuration,
        std::shared_ptr<prometheus::Registry> metrics)
        : server_({settings.listen_operators.host,
                   settings.listen_operators.port,
                   settings.operator_token,
                   std::move(metrics),
                   {core.state(), std::make_shared<config::config_state_source>(
                                      std::move(configuration), "agent",
                                      settings.region, settings.zone)},
                   [&core] { return core.ready(); }})
    {
    }
    void start() { throw_if_failed(server_.start()); }
    void stop() { server_.stop(); }

private:
    observe::operator_server server_;
};

agent_module::agent_module(config::agent_settings settings,
                           std::function<void()> on_drained)
    : settings_(std::move(settings))
    , on_drained_(std::move(on_drained))
{
}

agent_module::~agent_module() = default;

void agent_module::resolve_services(kernel::service_registry const& registry)
{
    agent_dependencies dependencies;
    dependencies.clock = registry.get<kernel::i_clock>("clock");
    dependencies.random = registry.get<kernel::i_random_source>("random");
    dependencies.traffic = registry.get<kernel::thread_pool>("traffic_pool");
    dependencies.metrics = registry.get<prometheus::Registry>("metrics");
    dependencies.configuration =
        registry.get<config::i_config_state>("config_state");
    dependencies.table = registry.get<storage::i_table>("table");
    dependencies.cache_salt = &make_cache_salt;
    dependencies.on_drained = on_drained_;
    auto const metrics = dependencies.metrics;
    auto const configuration = dependencies.configuration;
    core_ = std::make_unique<agent_core>(settings_, std::move(dependencies));
    operator_listener_ = std::make_unique<operator_listener>(
        settings_.common, *core_, configuration, metrics);
}

void agent_module::init()
{
    throw_if_failed(core_->start());
    operator_listener_->start();
}

void agent_module::deinit()
{
    operator_listener_->stop();
    core_->stop();
}

void agent_module::drain()
{
    core_->drain();
}

std::size_t agent_module::open_calls() const
{
    return core_->open_calls();
}

} // namespace endiveward::agent
