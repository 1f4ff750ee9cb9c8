#include "router/router_module.hpp"
#include "router/crash_watch.hpp"

#include "config/change_log_poller.hpp"
#include "config/config_state_source.hpp"
#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "config/types/router_settings.hpp"
#include "kernel/i_random_source.hpp"
#include "kernel/process_resources.hpp"
#include "kernel/service_registry.hpp"
#include "kernel/thread_pool.hpp"
#include "observe/operator_server.hpp"
#include "placement/cache_namespace.hpp"
#include "placement/i_placement.hpp"
#include "placement/prefix_levels.hpp"
#include "placement/retry_budget.hpp"
#include "router/caller_api.hpp"
#include "router/caller_server.hpp"
#include "router/config_readiness.hpp"
#include "router/peer_connections.hpp"
#include "router/relay_services.hpp"
#include "router/router_identity.hpp"
#include "router/router_metrics.hpp"
#include "storage/i_vm_list.hpp"
#include "wire/acceptor.hpp"
#include "wire/connection_options.hpp"
#include "wire/types/wire_counters.hpp"

#include <asio/steady_timer.hpp>
#include <prometheus/registry.h>

#include <algorithm>
#include <atomic>
#include <stdexcept>

namespace endiveward::router
{

namespace
{

constexpr std::chrono::seconds metrics_interval{1};
// How often the change log poller checks whether its next read is due.
constexpr std::chrono::milliseconds change_log_interval{100};
// A quarter of `config_readiness::confirmation_limit`, after which an
// unconfirmed configuration is refused.
constexpr std::chrono::milliseconds probe_interval{2000};

std::vector<wire::prefix_level> make_prefix_levels(
    kernel::workspace_id const& workspace, kernel::model_id const& model,
    kernel::model_version const& version, std::vector<std::string> const& parts)
{
    placement::cache_namespace const ns(workspace, model, version, {});
    std::vector<std::string_view> const views(parts.begin(), parts.end());
    return placement::make_prefix_levels(ns, views);
}

template <typename T>
T const& value_or_throw(kernel::result<T> const& res)
{
    if (!kernel::ok(res))
        throw std::runtime_error(kernel::failure(res).message);
    return kernel::value(res);
}

} // namespace

class router_module::impl
{
public:
    explicit impl(config::router_settings settings)
        : settings_(std::move(settings))
        , traffic_(std::make_shared<kernel::thread_pool>(
              settings_.common.traffic_threads))
        , retry_budget_(std::make_shared<placement::retry_budget>(
              settings_.retry_share, settings_.retry_burst))
        , metrics_timer_(control_->context(0))
        , change_log_timer_(control_->context(0))
    {
    }

    void resolve(kernel::service_registry const& registry)
    {
        services_->clock = registry.get<kernel::i_clock const>("clock");
        random_ = registry.get<kernel::i_random_source>("random");
        crashes_ =
            std::make_shared<crash_watch>(services_->clock, random_->next());
        configuration_ = registry.get<config::i_config_state>("config_state");
        services_->placement =
            registry.get<placement::i_placement>("placement");
        if (registry.contains("vm_list"))
            vm_list_ = registry.get<storage::i_vm_list>("vm_list");
        if (registry.contains("store_follower"))
            change_log_poller_ =
                registry.get<config::change_log_poller>("store_follower");
    }

    void init()
    {
        make_readiness();
        make_connections();
        make_services();
        make_wire_options();
        make_servers();
        control_->start();
        traffic_->start();
        http_.start();
        operator_port_ = value_or_throw(operator_server_->start());
        auto const& peers = settings_.common.listen_peers;
        auto const peer_port =
            value_or_throw(acceptor_->listen(peers.host, peers.port));
        connections_->set_own_address({peers.host, peer_port});
        connections_->start(wire_options_);
        caller_port_ = value_or_throw(caller_server_->start());
        update_metrics();
        poll_change_log();
    }

    void deinit()
    {
        if (acceptor_)
            acceptor_->stop();
        if (connections_)
            connections_->stop();
        if (operator_server_)
            operator_server_->stop();
        http_.stop();
        traffic_->stop();
        control_->stop();
        for (auto* it : {&http_, traffic_.get(), control_.get()})
            it->discard_handlers();
        // Connections that are still open own the options, and the observer
        // owns the threads of the connections; the reset breaks this cycle.
        if (wire_options_)
            wire_options_->observer.reset();
    }

    bool ready() const
    {
        return !stopping_ && connections_->open_agents() > 0 &&
               readiness_->is_caught_up(configuration_->current()->version()) &&
               !readiness_->refusal();
    }

    std::size_t active_calls() const { return api_->active_calls(); }
    std::uint16_t caller_port() const { return caller_port_; }
    std::uint16_t operator_port() const { return operator_port_; }
    void announce_stop() { stopping_ = true; }

    void close_listeners()
    {
        api_->refuse_new_calls();
        caller_server_->stop_accepting();
        acceptor_->stop();
    }

private:
    void make_readiness()
    {
        readiness_ = std::make_shared<config_readiness>(
            services_->clock, settings_.when_isolated,
            change_log_poller_ != nullptr);
        configuration_->subscribe([it = readiness_](auto const&)
                                  { it->on_applied(); });
    }

    void make_connections()
    {
        peer_connections_options options;
        options.control = control_;
        options.traffic = traffic_;
        options.clock = services_->clock;
        options.random = random_;
        options.configuration = configuration_;
        options.placement = services_->placement;
        options.vm_list = vm_list_;
        options.self = settings_.common.name;
        options.region = settings_.common.region;
        options.seeds = settings_.common.seeds;
        options.vm_poll_interval = settings_.vm_poll_interval;
        options.vm_timeout = settings_.common.platform_timeout;
        options.on_dropped = [metrics = metrics_] { metrics->on_dropped(1); };
        options.on_update_sent = [metrics = metrics_]
        { metrics->on_config_update_sent(); };
        options.on_hello = [it = readiness_](kernel::config_version version)
        { it->on_hello(version); };
        options.on_reported = [it = readiness_, state = configuration_](
                                  kernel::config_version version)
        { it->on_reported(version, state->current()->version()); };
        options.on_part_report = [it = crashes_](auto const& report)
        { it->on_report(report); };
        if (settings_.when_isolated == config::isolation_policy::refuse)
            options.probe_interval = probe_interval;
        connections_ = std::make_shared<peer_connections>(std::move(options));
        crashes_->set_news_handler(
            [weak = std::weak_ptr(connections_)](auto const& news)
            {
                if (auto const connections = weak.lock())
                    connections->send_part_report(news);
            });
    }

    void make_services()
    {
        services_->random = random_;
        services_->region = settings_.common.region;
        services_->configuration = configuration_;
        services_->agents = connections_;
        services_->metrics = metrics_;
        services_->crashes = crashes_;
        services_->make_prefix_levels = make_prefix_levels;
        services_->on_request = [budget = retry_budget_]
        { budget->on_request(); };
        services_->try_take_retry_token = [budget = retry_budget_]
        { return budget->try_retry(); };
        services_->verdict_timeout = settings_.verdict_timeout;
        services_->max_attempts = settings_.max_attempts;
        services_->max_answer_bytes = settings_.max_answer_bytes;
    }

    void make_wire_options()
    {
        wire_options_ = std::make_shared<wire::connection_options>();
        wire_options_->key = settings_.common.cluster_key;
        wire_options_->identity = std::make_shared<router_identity>(
            settings_.common, random_->next(), configuration_);
        wire_options_->random = random_;
        wire_options_->counters = counters_;
        wire_options_->observer = connections_;
        acceptor_ = std::make_unique<wire::acceptor>(*traffic_, wire_options_);
    }

    /// Other listeners, agents, the table and files need descriptors, too.
    std::size_t allowed_connections() const
    {
        constexpr std::size_t share_of_callers = 2;
        auto const descriptors = kernel::allowed_descriptors(0);
        if (descriptors == 0)
            return settings_.max_connections;
        return std::min(settings_.max_connections,
                        descriptors / share_of_callers);
    }

    void make_servers()
    {
        caller_api_options api;
        api.services = services_;
        api.traffic = traffic_;
        api.max_body_bytes = settings_.max_body_bytes;
        api.max_header_bytes = settings_.max_header_bytes;
        api.default_deadline = settings_.default_deadline;
        api.max_deadline = settings_.max_deadline;
        api.refusal = [it = readiness_] { return it->refusal(); };
        api_ = std::make_shared<caller_api>(std::move(api));

        caller_server_options callers;
        callers.address = settings_.listen_callers.host;
        callers.port = settings_.listen_callers.port;
        callers.max_body_bytes = settings_.max_body_bytes;
        callers.max_header_bytes = settings_.max_header_bytes;
        callers.max_connections = allowed_connections();
        callers.max_request_memory = settings_.max_request_memory;
        callers.read_timeout = settings_.read_timeout;
        callers.max_deadline = settings_.max_deadline;
        caller_server_ = std::make_unique<caller_server>(
            http_.context(0), std::move(callers), api_);

        observe::operator_server_options operators;
        operators.address = settings_.common.listen_operators.host;
        operators.port = settings_.common.listen_operators.port;
        operators.token = settings_.common.operator_token;
        operators.metrics = registry_;
        operators.sources = {
            connections_, std::make_shared<config::config_state_source>(
                              configuration_, "router", settings_.common.region,
                              settings_.common.zone)};
        operators.ready = [this] { return ready(); };
        operator_server_ =
            std::make_unique<observe::operator_server>(std::move(operators));
    }

    void update_metrics()
    {
        metrics_->collect(*counters_);
        metrics_->set_open_agents(connections_->open_agents());
        metrics_->set_config_version(configuration_->current()->version());
        if (change_log_poller_ != nullptr)
            metrics_->set_store_up(change_log_poller_->store_up());
        metrics_timer_.expires_after(metrics_interval);
        metrics_timer_.async_wait(
            [this](std::error_code ec)
            {
                if (!ec)
                    update_metrics();
            });
    }

    void poll_change_log()
    {
        if (change_log_poller_ == nullptr)
            return;
        change_log_poller_->tick();
        if (auto const when = change_log_poller_->last_up_to_date())
            readiness_->on_store_read(*when);
        change_log_timer_.expires_after(change_log_interval);
        change_log_timer_.async_wait(
            [this](std::error_code ec)
            {
                if (!ec)
                    poll_change_log();
            });
    }

    config::router_settings const settings_;
    std::shared_ptr<kernel::thread_pool> control_ =
        std::make_shared<kernel::thread_pool>(1);
    std::shared_ptr<kernel::thread_pool> traffic_;
    kernel::thread_pool http_{1};
    std::shared_ptr<prometheus::Registry> registry_ =
        std::make_shared<prometheus::Registry>();
    std::shared_ptr<router_metrics> metrics_ =
        std::make_shared<router_metrics>(registry_);
    std::shared_ptr<crash_watch> crashes_;
    std::shared_ptr<wire::wire_counters> counters_ =
        std::make_shared<wire::wire_counters>();
    std::shared_ptr<placement::retry_budget> retry_budget_;
    std::shared_ptr<relay_services> services_ =
        std::make_shared<relay_services>();
    std::shared_ptr<kernel::i_random_source> random_;
    std::shared_ptr<config::i_config_state> configuration_;
    std::shared_ptr<storage::i_vm_list> vm_list_;
    std::shared_ptr<config_readiness> readiness_;
    std::shared_ptr<peer_connections> connections_;
    std::shared_ptr<wire::connection_options> wire_options_;
    std::unique_ptr<wire::acceptor> acceptor_;
    std::shared_ptr<caller_api> api_;
    std::unique_ptr<caller_server> caller_server_;
    std::unique_ptr<observe::operator_server> operator_server_;
    std::shared_ptr<config::change_log_poller> change_log_poller_;
    asio::steady_timer metrics_timer_;
    asio::steady_timer change_log_timer_;
    std::atomic<bool> stopping_{false};
    std::uint16_t caller_port_ = 0;
    std::uint16_t operator_port_ = 0;
};

router_module::router_module(config::router_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings)))
{
}

router_module::~router_module() = default;

void router_module::register_services(kernel::service_registry&) {}

void router_module::resolve_services(kernel::service_registry const& registry)
{
    impl_->resolve(registry);
}

void router_module::init()
{
    impl_->init();
}

void router_module::deinit()
{
    impl_->deinit();
}

bool router_module::ready() const
{
    return impl_->ready();
}

std::size_t router_module::active_calls() const
{
    return impl_->active_calls();
}

std::uint16_t router_module::caller_port() const
{
    return impl_->caller_port();
}

std::uint16_t router_module::operator_port() const
{
    return impl_->operator_port();
}

void router_module::announce_stop()
{
    impl_->announce_stop();
}

void router_module::close_listeners()
{
    impl_->close_listeners();
}

} // namespace endiveward::router
