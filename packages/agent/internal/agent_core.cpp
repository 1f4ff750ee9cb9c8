#include "agent/internal/agent_core.hpp"

#include "admission/admission_queue.hpp"
#include "admission/cache_index.hpp"
#include "admission/claim_sweeper.hpp"
#include "admission/idempotency_ledger.hpp"
#include "admission/stream_buffer.hpp"
#include "admission/table_lease.hpp"
#include "admission/weight_load_slots.hpp"
#include "agent/internal/agent_identity.hpp"
#include "agent/internal/agent_metrics.hpp"
#include "agent/internal/agent_state_source.hpp"
#include "agent/internal/cache_index_updater.hpp"
#include "agent/internal/drain_controller.hpp"
#include "agent/internal/http_endpoint_client.hpp"
#include "agent/internal/load_poller.hpp"
#include "agent/internal/load_reporter.hpp"
#include "agent/internal/model_reconciler.hpp"
#include "agent/internal/periodic_task.hpp"
#include "agent/internal/router_connections.hpp"
#include "config/i_config_state.hpp"
#include "kernel/i_random_source.hpp"
#include "kernel/thread_pool.hpp"
#include "storage/i_table.hpp"
#include "wire/acceptor.hpp"
#include "wire/types/wire_counters.hpp"

#include <asio/post.hpp>
#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>
#include <future>
#include <utility>

namespace endiveward::agent
{

namespace
{

constexpr std::size_t stream_buffer_bytes = 1U << 20U;
// Bounds the delay until the expired deadline of a queued call is noticed.
constexpr std::chrono::milliseconds tick_interval{10};
constexpr std::chrono::milliseconds load_poll_interval{500};
constexpr std::chrono::seconds maintenance_interval{1};
constexpr std::chrono::minutes sweep_interval{1};
constexpr std::chrono::seconds heartbeat_interval{30};

} // namespace

agent_core::agent_core(config::agent_settings settings,
                       agent_dependencies dependencies)
    : dependencies_(std::move(dependencies))
    , settings_(std::move(settings))
    // 0 stands for an unknown incarnation.
    , incarnation_(
          std::max<kernel::incarnation>(dependencies_.random->next(), 1))
    , metrics_(std::make_shared<agent_metrics>(dependencies_.metrics))
{
    make_call_executor();
    make_connections();
    make_tasks();
}

agent_core::~agent_core() = default;

asio::io_context& agent_core::context() const
{
    return dependencies_.traffic->context(0);
}

bool agent_core::has_engine() const
{
    return settings_.kind == config::endpoint_kind::engine;
}

void agent_core::make_call_executor()
{
    auto const post = [&context = context()](std::function<void()> task)
    { asio::post(context, std::move(task)); };
    admission::idempotency_options ledger_options;
    ledger_options.endpoint = settings_.endpoint;
    ledger_options.table_timeout = settings_.common.platform_timeout;
    queue_ = std::make_shared<admission::admission_queue>(*dependencies_.clock,
                                                          settings_.max_queue);
    cache_index_ =
        std::make_shared<admission::cache_index>(settings_.max_cache_blocks);
    ledger_ = std::make_shared<admission::idempotency_ledger>(
        *dependencies_.clock, *dependencies_.random, *dependencies_.table, post,
        ledger_options);
    sweeper_ = std::make_shared<admission::claim_sweeper>(
        *dependencies_.clock, *dependencies_.table, post,
        settings_.claim_retention, settings_.common.platform_timeout);
    endpoint_ = std::make_shared<http_endpoint_client>(context(),
                                                       settings_.endpoint_url);
    load_ = std::make_shared<load_reporter>(queue_, incarnation_,
                                            settings_.capacity);
    call_executor_dependencies dependencies;
    dependencies.clock = dependencies_.clock;
    dependencies.queue = queue_;
    dependencies.ledger = ledger_;
    dependencies.cache_index = cache_index_;
    dependencies.configuration = dependencies_.configuration;
    dependencies.endpoint = endpoint_;
    dependencies.load = load_;
    dependencies.metrics = metrics_;
    dependencies.max_call_memory = settings_.max_call_memory;
    dependencies.make_buffer = []
    { return std::make_unique<admission::stream_buffer>(stream_buffer_bytes); };
    dependencies.cache_salt = dependencies_.cache_salt;
    executor_ = std::make_shared<call_executor>(
        std::move(dependencies),
        endpoint_identity{settings_.endpoint, settings_.service});
}

void agent_core::make_connections()
{
    connections_ = std::make_shared<router_connections>(
        dependencies_.clock, executor_, dependencies_.configuration, load_,
        metrics_);
    state_ = std::make_shared<agent_state_source>(load_, connections_,
                                                  dependencies_.configuration,
                                                  settings_.endpoint.str());
    wire::hello local_hello;
    local_hello.role = wire::process_role::agent;
    local_hello.process = settings_.common.name;
    local_hello.incarnation = incarnation_;
    local_hello.region = settings_.common.region;
    local_hello.zone = settings_.common.zone;
    local_hello.endpoint = settings_.endpoint;
    local_hello.accepts_part_reports = true;
    options_ = std::make_shared<wire::connection_options>();
    options_->key = settings_.common.cluster_key;
    options_->identity = std::make_shared<agent_identity>(
        load_, dependencies_.configuration, std::move(local_hello));
    options_->random = dependencies_.random;
    options_->counters = std::make_shared<wire::wire_counters>();
    options_->observer = connections_;
    acceptor_ =
        std::make_unique<wire::acceptor>(*dependencies_.traffic, options_);
    dependencies_.configuration->subscribe(
        [&context = context(), weak = std::weak_ptr(executor_)](
            std::shared_ptr<config::i_configuration const> const&)
        {
            asio::post(context,
                       [weak]
                       {
                           if (auto const executor = weak.lock())
                               executor->on_configuration(nullptr);
                       });
        });
}

void agent_core::make_tasks()
{
    drain_ = std::make_shared<drain_controller>(
        dependencies_.clock, executor_, connections_, dependencies_.on_drained);
    auto const add_task =
        [this](std::chrono::milliseconds interval, std::function<void()> task)
    {
        tasks_.push_back(std::make_shared<periodic_task>(context(), interval,
                                                         std::move(task)));
    };
    add_task(tick_interval,
             [this]
             {
                 executor_->tick();
                 drain_->tick();
             });
    add_task(maintenance_interval,
             [this]
             {
                 ledger_->tick();
                 publish_gauges();
             });
    add_task(sweep_interval, [this] { sweeper_->tick(); });
    add_task(heartbeat_interval,
             [this] { connections_->broadcast_heartbeat(); });
    if (!has_engine())
        return;
    cache_updater_ = std::make_shared<cache_index_updater>(
        context(), endpoint_, cache_index_, metrics_);
    poller_ = std::make_shared<load_poller>(
        endpoint_, load_, metrics_,
        [this]
        {
            cache_updater_->on_engine_incarnation(load_->engine_incarnation());
            executor_->start_queued_calls();
        },
        // Routers send no calls to an engine without models. Without this
        // heartbeat they would learn only from the next periodic one that the
        // engine is back.
        [this] { connections_->broadcast_heartbeat(); });
    add_task(load_poll_interval, [this] { poller_->poll(); });
    make_reconciler();
    add_task(maintenance_interval, [this] { reconciler_->tick(); });
}

void agent_core::make_reconciler()
{
    auto const post = [&context = context()](std::function<void()> task)
    { asio::post(context, std::move(task)); };
    // The incarnation distinguishes this process from the one before a restart.
    auto const holder =
        fmt::format("{}/{}", settings_.common.name.str(), incarnation_);
    admission::table_lease_options options;
    options.row_key = "leases/" + settings_.endpoint.str();
    options.holder = holder;
    options.table_timeout = settings_.common.platform_timeout;
    model_reconciler_dependencies dependencies;
    dependencies.clock = dependencies_.clock;
    dependencies.random = dependencies_.random;
    dependencies.configuration = dependencies_.configuration;
    dependencies.load = load_;
    dependencies.endpoint = endpoint_;
    dependencies.lease = std::make_shared<admission::table_lease>(
        *dependencies_.clock, *dependencies_.table, post, std::move(options));
    dependencies.slots = std::make_shared<admission::weight_load_slots>(
        *dependencies_.clock, *dependencies_.table, post, holder);
    dependencies.metrics = metrics_;
    reconciler_ = std::make_shared<model_reconciler>(std::move(dependencies),
                                                     settings_.endpoint);
}

kernel::result<std::uint16_t> agent_core::start()
{
    auto const& address = settings_.common.listen_peers;
    auto port = acceptor_->listen(address.host, address.port);
    if (!kernel::ok(port))
        return port;
    asio::post(context(),
               [this]
               {
                   for (auto const& it : tasks_)
                       it->start();
                   if (cache_updater_)
                       cache_updater_->start();
               });
    return port;
}

void agent_core::stop()
{
    acceptor_->stop();
    std::promise<void> stopped;
    asio::post(context(),
               [&]
               {
                   for (auto const& it : tasks_)
                       it->stop();
                   if (cache_updater_)
                       cache_updater_->stop();
                   connections_->close_all();
                   stopped.set_value();
               });
    stopped.get_future().wait();
}

void agent_core::drain()
{
    asio::post(context(), [this] { drain_->start(); });
}

bool agent_core::ready() const
{
    auto const load = load_->latest();
    return !load.draining && (!has_engine() || !load.models.empty());
}

std::size_t agent_core::open_calls() const
{
    auto const load = load_->latest();
    return load.running + load.queued;
}

void agent_core::publish_gauges() const
{
    auto const load = load_->report();
    metrics_->running.Set(load.running);
    metrics_->queued.Set(load.queued);
    metrics_->capacity.Set(load.capacity);
    metrics_->draining.Set(load.draining ? 1 : 0);
    metrics_->collect(*options_->counters);
    metrics_->claims_deleted.Increment(
        static_cast<double>(sweeper_->deleted()) -
        metrics_->claims_deleted.Value());
}

} // namespace endiveward::agent
