#include "gateway/gateway.hpp"

#include "gateway/endpoint_chooser.hpp"
#include "gateway/endpoint_directory.hpp"
#include "gateway/exchange.hpp"
#include "gateway/fact_exchange.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/isolation_watch.hpp"
#include "gateway/limit_watch.hpp"
#include "gateway/origin_watch.hpp"
#include "gateway/part_watch.hpp"
#include "gateway/quota_watch.hpp"
#include "gateway/retry_budgets.hpp"
#include "gateway/room_queue.hpp"
#include "gateway/routing_table.hpp"
#include "gateway/speed_watch.hpp"
#include "gateway/types/connection_load.hpp"
#include "gateway/weights_view.hpp"
#include "observe/decision_log.hpp"

#include <asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace endiveward::gateway
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{500};
/// Fraction of the retry budget that is used, since the sliding windows of the
/// processes are slightly offset.
constexpr double budget_fraction = 0.8;
/// Fraction of an endpoint's connection limit that all processes together use.
/// The rest is left for health checks and the endpoint's own reserve.
constexpr double connection_fraction = 0.9;
/// A lower number of routers takes effect only after this time, since a stopped
/// router may return.
constexpr std::chrono::seconds process_count_retention{15};
/// A stream may be taken up until this multiple of its route's timeout after a
/// request for it was sent: when the timeout ends it, and for some time then.
constexpr int lifetime_factor = 2;
constexpr std::chrono::seconds min_stream_lifetime{30};
constexpr std::chrono::minutes max_stream_lifetime{60};
/// So many are served at the same time.
constexpr std::size_t requests_of_largest_size = 2;

} // namespace

gateway::gateway(asio::io_context& context, kernel::i_clock const& clock,
                 header_field_names names, gateway_settings settings,
                 prometheus::Registry& metrics, observe::decision_log& log)
    : context_(context)
    , clock_(clock)
    , names_(std::move(names))
    , settings_(std::move(settings))
    , processes_(settings_.processes)
    , log_(log)
    , metrics_(std::make_unique<gateway_metrics>(metrics))
    , chooser_(std::make_unique<endpoint_chooser>(settings_.placement,
                                                  settings_.zone))
    , overload_(settings_.overload)
    , unavailability_(clock)
    , memory_(settings_.buffer_memory_bytes)
    , weights_(std::make_unique<weights_view>(settings_.rollout,
                                              settings_.version_deadline))
    , budgets_(std::make_unique<retry_budgets>(clock, *metrics_, log))
    , parts_(std::make_unique<part_watch>(context, clock, *metrics_, log,
                                          settings_.seed))
    , caller_server_(context, clock, *this, settings_.max_caller_connections)
    , timer_(context)
{
    auto options = std::make_shared<upstream_options>();
    options->id_field = names_.request_id;
    endpoints_ = std::make_shared<endpoint_directory>(
        [this, options](asio::ip::tcp::endpoint const& peer) {
            return std::make_shared<upstream_pool>(context_, clock_, options,
                                                   peer);
        },
        settings_.seed);
    limits_ = std::make_unique<limit_watch>(context_, clock_, *endpoints_, log_,
                                            settings_.seed);
    origins_ =
        std::make_unique<origin_watch>(context_, clock_, *metrics_, log_);
    facts_ = std::make_unique<fact_exchange>(context_, clock_, settings_.seed);
    quotas_ = std::make_unique<quota_watch>(context_, clock_, *facts_,
                                            *metrics_, log_, settings_.seed);
    quotas_->set_processes(processes_);
    isolations_ = std::make_unique<isolation_watch>(
        clock_, settings_.configuration_deadline);
    speeds_ = std::make_unique<speed_watch>(clock_, *endpoints_, *facts_,
                                            *metrics_, log_);
    room_ = std::make_shared<room_queue>(
        context_, clock_, *endpoints_,
        settings_.placement.prefill_tokens_per_ms, *metrics_, log_);
    room_->set_switch(settings_.room);
    services_ = std::make_unique<exchange_services>(exchange_services{
        context_,  clock_,          names_,    *endpoints_,  *chooser_,
        overload_, unavailability_, *weights_, *budgets_,    *parts_,
        *limits_,  *origins_,       *quotas_,  *isolations_, *speeds_,
        *room_,    memory_,         *metrics_, log_,         stop_,
        table_});
    if (!settings_.may_be_restarted)
        budgets_->begin_full();
    update_limits();
    update_limit_share();
}

gateway::~gateway() = default;

kernel::result<std::uint16_t> gateway::listen(std::string const& address,
                                              std::uint16_t port)
{
    auto res = caller_server_.listen(address, port);
    if (kernel::ok(res))
        tick();
    return res;
}

void gateway::apply(std::shared_ptr<routing_table const> table)
{
    if (table_ != nullptr && table->version() <= table_->version())
        return;
    isolations_->on_table(table_.get(), *table);
    table_ = std::move(table);
    quotas_->apply(*table_);
    room_->apply(*table_);
    update_limits();
    update_memory_limit();
    update_stream_lifetime();
    log_.write("configuration_in_force",
               "version={} routes={} workspaces={} needs_keys={} "
               "shared_cache_group={}",
               table_->version(), table_->config().routes.size(),
               table_->config().workspaces.size(), table_->needs_keys(),
               table_->cache_group_of(nullptr));
}

void gateway::apply(std::vector<endpoint_entry> endpoints)
{
    for (auto const& it : endpoints_->update(std::move(endpoints)))
        log_.write("entry_ignored", "endpoint={} reason=earlier_incarnation",
                   it.str());
    update_limits();
    origins_->on_endpoints(*endpoints_);
    speeds_->on_endpoints();
}

void gateway::apply(resumption::recorded_versions const& versions)
{
    origins_->on_versions(versions);
}

void gateway::update_stream_lifetime()
{
    std::chrono::milliseconds longest{0};
    for (auto const& it : table_->config().routes)
    {
        if (it.kind != route_kind::resumable_stream)
            continue;
        // Without a timeout, only the caller's time limits the stream.
        longest = std::max(
            longest, it.timeout.count() > 0 ? it.timeout : max_stream_lifetime);
    }
    origins_->set_lifetime(std::clamp<std::chrono::milliseconds>(
        lifetime_factor * longest, min_stream_lifetime, max_stream_lifetime));
}

void gateway::apply(weights::model_target const& target,
                    std::optional<kernel::steady_time> announced_at)
{
    auto ids = endpoints_->ids_with_model(target.model);
    log_.write("weights_named", "model={} version={} endpoints={}",
               target.model.str(), target.version, ids.size());
    weights_->set_target(target, std::move(ids), announced_at, clock_.now());
}

void gateway::on_engine_state(kernel::endpoint_id const& endpoint,
                              wire::engine_state const& state)
{
    auto const found = endpoints_->find(endpoint);
    if (found == nullptr)
        return;
    auto const was_reloading = found->reloading();
    auto const was_leaving = found->leaving();
    found->on_state(state, clock_.now());
    room_->on_capacity();
    limits_->on_agent_report(*found, state.request_limit);
    limits_->set_processes(processes_, true);
    update_process_count(state.routers);
    if (!was_leaving && found->leaving())
    {
        metrics_->on_leaving("agent");
        log_.write("endpoint_leaving", "endpoint={} source=agent until=restart",
                   endpoint.str());
    }
    if (was_reloading != found->reloading())
        log_.write("engine_state", "endpoint={} reloading={} running={}",
                   endpoint.str(), state.reloading, state.running);
}

/// Updates the number of routers that share the deployment's limits. Each agent
/// reports the number of routers connected to it; the highest recent number is
/// used, since one agent may not know all routers.
void gateway::update_process_count(std::size_t routers)
{
    auto const now = clock_.now();
    if (routers < processes_ &&
        now - process_count_updated_at_ < process_count_retention)
        return;
    if (routers == 0)
        return;
    process_count_updated_at_ = now;
    if (routers == std::exchange(processes_, routers))
        return;
    quotas_->set_processes(processes_);
    update_limits();
    update_limit_share();
    log_.write("processes_counted", "processes={}", processes_);
}

void gateway::on_cache_change(kernel::endpoint_id const& endpoint,
                              wire::cache_change const& change)
{
    if (auto const found = endpoints_->find(endpoint))
        found->on_cache(change);
}

void gateway::on_link_lost(kernel::endpoint_id const& endpoint)
{
    log_.write("link_lost", "endpoint={}", endpoint.str());
    if (auto const found = endpoints_->find(endpoint))
        found->on_link_lost();
    update_limit_share();
}

/// Routers learn of each other's requests from the agents.
void gateway::update_limit_share()
{
    bool linked = false;
    endpoints_->for_each([&](endpoint_record const& it, upstream_pool&)
                         { linked = linked || it.linked(); });
    limits_->set_processes(processes_, linked);
}

void gateway::on_part_report(wire::part_report const& report)
{
    parts_->on_report(report);
}

void gateway::set_part_report_handler(
    std::function<void(wire::part_report)> handler)
{
    parts_->set_news_handler(std::move(handler));
}

void gateway::on_limit_report(wire::limit_report const& report)
{
    limits_->on_report(report);
}

void gateway::set_limit_report_handler(
    std::function<void(wire::limit_report)> handler)
{
    limits_->set_news_handler(std::move(handler));
}

void gateway::on_fact_report(wire::fact_report const& report)
{
    facts_->on_report(report);
}

void gateway::set_fact_report_handler(
    std::function<void(wire::fact_report)> handler)
{
    facts_->set_report_handler(std::move(handler));
}

void gateway::set_origin_handlers(
    std::function<void(wire::stream_origins)> on_origins,
    std::function<void(wire::origin_query)> on_query)
{
    origins_->set_handlers(std::move(on_origins), std::move(on_query));
}

void gateway::on_origin_asked(std::uint64_t query, std::size_t agents,
                              bool list_is_current, bool reads_versions)
{
    origins_->on_asked(query, agents, list_is_current, reads_versions);
}

void gateway::on_origin_answer(wire::origin_answer const& answer)
{
    origins_->on_answer(answer);
}

void gateway::set_settings(gateway_settings settings)
{
    settings_ = std::move(settings);
    weights_->set_deadline(settings_.version_deadline);
    isolations_->set_deadline(settings_.configuration_deadline);
    update_memory_limit();
    caller_server_.set_max_connections(settings_.max_caller_connections);
    update_limits();
}

/// Recomputes the limits that depend on settings, configuration, endpoints and
/// the number of processes.
void gateway::update_limits()
{
    auto const processes =
        static_cast<double>(std::max<std::size_t>(processes_, 1));
    budgets_->set_limits(settings_.retry_budget_ratio * budget_fraction,
                         settings_.retry_budget_extra * budget_fraction /
                             processes);
    room_->set_processes(processes_, settings_.seed);
    if (table_ == nullptr)
        return;
    endpoints_->for_each(
        [&](endpoint_record& record, upstream_pool& pool)
        {
            auto const* const found =
                table_->find_service(record.entry().service);
            if (found != nullptr && found->max_connections > 0)
                pool.set_max_connections(std::max<std::size_t>(
                    1,
                    static_cast<std::size_t>(found->max_connections *
                                             connection_fraction / processes)));
        });
}

/// A request of the largest size is served in calm.
void gateway::update_memory_limit()
{
    auto const most = settings_.max_buffer_memory_bytes;
    auto const sizes = limits();
    auto const largest = std::min(sizes.body_bytes, most / 4) +
                         std::min(sizes.header_bytes, most / 4);
    auto const wanted = requests_of_largest_size * largest;
    memory_.set_limit(
        std::max(settings_.buffer_memory_bytes, std::min(wanted, most)));
}

void gateway::tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](std::error_code ec)
        {
            if (ec)
                return;
            endpoints_->for_each(
                [now = clock_.now(), scarce = memory_.scarce()](
                    endpoint_record& record, upstream_pool& pool)
                {
                    if (scarce)
                        pool.close_idle();
                    pool.close_expired();
                    record.cache().expire(now);
                });
            limits_->update_share();
            speeds_->update(processes_);
            tick();
        });
}

void gateway::announce_stop(kernel::steady_time ends_at)
{
    draining_ = true;
    stop_.ends_at = std::min(stop_.ends_at, ends_at);
    caller_server_.on_stop();
}

void gateway::stop_listening()
{
    stop_.refusing = true;
    caller_server_.stop_listening();
    caller_server_.on_stop();
}

void gateway::close_idle()
{
    caller_server_.close_idle();
}

void gateway::close_all()
{
    timer_.cancel();
    quotas_->stop();
    caller_server_.close_all();
    endpoints_->for_each([](endpoint_record&, upstream_pool& pool)
                         { pool.close_idle(); });
}

std::shared_ptr<i_exchange> gateway::handle(http_request request,
                                            i_response_writer& writer)
{
    auto res = std::make_shared<exchange>(*services_, table_,
                                          std::move(request), writer);
    if (!res->start())
        return nullptr;
    return res;
}

void gateway::on_displaced(connection_load const& load, std::string_view reason)
{
    auto const activity = to_text(load.activity);
    metrics_->on_displaced(std::string(activity));
    log_.write("caller_displaced",
               "activity={} by={} bytes={} held_ms={} memory={} connections={}",
               activity, reason, load.bytes,
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   clock_.now() - load.since)
                   .count(),
               memory_.used(), caller_server_.connections());
}

caller_limits gateway::limits() const
{
    return table_ == nullptr ? caller_limits() : table_->limits();
}

} // namespace endiveward::gateway
