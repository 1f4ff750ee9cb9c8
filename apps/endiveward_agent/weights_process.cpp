#include "endiveward_agent/weights_process.hpp"

#include "enginelink/link_options.hpp"
#include "follower/cluster_view.hpp"
#include "follower/follow_policy.hpp"
#include "follower/table_follower.hpp"
#include "gateway/prefix_cache_estimate.hpp"
#include "gateway/routing_table.hpp"
#include "observe/logging.hpp"
#include "weights/rollout_plan.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <csignal>
#include <future>
#include <utility>

namespace endiveward::app
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t lines_per_second = 50;
constexpr milliseconds poll_reloading{50};
constexpr milliseconds poll_behind{100};
/// The load that routers are told of is at most this old.
constexpr milliseconds poll_current{250};
/// How often routers are asked for the operators' table while the store does
/// not answer.
constexpr milliseconds ask_interval{500};
constexpr milliseconds flush_interval{500};
/// Reports that fail one after the other until routers are told.
constexpr int reports_until_unreachable = 2;
/// Longer than the time between two answers of an engine to its agent.
constexpr milliseconds limit_retention{2000};
constexpr milliseconds close_timeout{300};
constexpr milliseconds endpoints_timeout{900};

/// Leaves the other half of the time for draining, loading and orders that are
/// not answered.
milliseconds max_start_delay(gateway::process_settings const& settings)
{
    return settings.version_deadline / 2;
}

weights::weight_updater_options
weight_updater_options(gateway::process_settings const& settings)
{
    weights::weight_updater_options res;
    res.holder = settings.name.str();
    res.max_start_delay = max_start_delay(settings);
    return res;
}

} // namespace

weights_process::weights_process(gateway::process_settings settings,
                                 wire::cluster_key key)
    : settings_(std::move(settings))
    , pool_(1)
    , poll_timer_(pool_.context(0))
    , flush_timer_(pool_.context(0))
    , log_(clock_, "endiveward.agent", lines_per_second)
    , store_(pool_.context(0), clock_, settings_.store)
    , engine_(pool_.context(0), clock_, settings_.engine.value())
    , cache_(pool_.context(0), clock_, settings_.engine.value())
    , cache_follower_(
          pool_.context(0), cache_, gateway::part_key,
          [this](bool reset, std::vector<wire::cached_part> const& parts)
          { publisher_.publish_cache(reset, parts); })
    , publisher_(pool_, clock_, std::move(key),
                 std::make_shared<enginelink::link_identity>(
                     wire::process_role::agent, settings_.name, settings_.zone,
                     clock_),
                 row_exchange_)
    , updater_(weight_updater_options(settings_))
    , view_(std::make_unique<follower::cluster_view>(pool_.context(0), clock_,
                                                     decoder_, *this, log_))
{
    auto const on_leaving = [this] { on_engine_leaving(); };
    engine_.set_leaving_handler(on_leaving);
    cache_.set_leaving_handler(on_leaving);
    auto const on_limit = [this](double per_second)
    { on_engine_limit(per_second); };
    engine_.set_limit_handler(on_limit);
    cache_.set_limit_handler(on_limit);
}

weights_process::~weights_process() = default;

int weights_process::run()
{
    log_.write("start", "process={} engine={}:{}", settings_.name.str(),
               settings_.engine->host, settings_.engine->port);
    asio::io_context control{1};
    asio::signal_set signals(control, SIGTERM, SIGINT);
    // Nothing that an agent uses can change while its engine stays the same.
    std::signal(SIGHUP, SIG_IGN);
    signals.async_wait([](std::error_code, int) {});
    auto const res = publisher_.listen(settings_.host, settings_.internal_port);
    if (!kernel::ok(res))
        log_.write("cannot_listen", "reason=\"{}\"",
                   kernel::failure(res).message);
    asio::post(pool_.context(0), [this] { start(); });
    pool_.start();
    control.run();
    close_links();
    pool_.stop();
    log_.write("stop", "process={}", settings_.name.str());
    pool_.discard_handlers();
    return 0;
}

/// Closes the links, so that routers learn of the stop at once.
void weights_process::close_links()
{
    auto const closed = std::make_shared<std::promise<void>>();
    asio::post(pool_.context(0),
               [this, closed]
               {
                   publisher_.close();
                   // The connections close with tasks that were just posted.
                   asio::post(pool_.context(0),
                              [closed] { closed->set_value(); });
               });
    closed->get_future().wait_for(close_timeout);
}

void weights_process::start()
{
    follower::follower_options options;
    options.table = platform::operators_table;
    options.long_poll_time = follower::long_poll_time(settings_.catch_up_time,
                                                      options.response_timeout);
    options.coalescing_delay = milliseconds(0);
    operators_ = std::make_shared<follower::table_follower>(
        pool_.context(0), clock_, store_, random_,
        view_->operator_rows_listener(), options);
    row_exchange_.set_follower(operators_);
    row_exchange_.set_view(*view_);
    operators_->start();
    cache_follower_.start();
    flush();
    ask();
}

void weights_process::flush()
{
    observe::flush_logging();
    flush_timer_.expires_after(flush_interval);
    flush_timer_.async_wait(
        [this](std::error_code ec)
        {
            if (!ec)
                flush();
        });
}

void weights_process::on_configuration(
    std::shared_ptr<gateway::routing_table const>)
{
}

void weights_process::on_endpoints(std::vector<gateway::endpoint_entry> const&)
{
}

void weights_process::on_target(weights::model_target const& target,
                                storage::table_row const& row,
                                std::optional<kernel::steady_time> announced_at)
{
    auto const announced = announced_at.value_or(clock_.now());
    named_[target.model] = {target.version, announced};
    // The deadline of this version holds even if a newer one is named before
    // the list of endpoints has been read.
    updater_.set_target(target.model, target.version, announced,
                        announced + max_start_delay(settings_));
    log_.write("weights_named", "model={} version={} row_version={}",
               target.model.str(), target.version, row.position.version);
    if (endpoint_list_.usable(*settings_.engine, clock_.now()))
        plan_turns();
    else
        read_endpoints();
    ask();
}

void weights_process::read_endpoints()
{
    store_.read_all(
        platform::endpoints_table, endpoints_timeout,
        [this](storage::i_row_feed::batch_result res)
        {
            if (auto const* batch = std::get_if<storage::row_batch>(&res))
            {
                std::vector<gateway::endpoint_entry> entries;
                for (auto const& it : batch->rows)
                {
                    auto decoded =
                        decoder_.decode_endpoint_row(it.key, it.value);
                    if (kernel::ok(decoded))
                        entries.push_back(kernel::value(std::move(decoded)));
                }
                endpoint_list_.set(std::move(entries), clock_.now());
            }
            else
                log_.write("store_unavailable", "table=endpoints {}",
                           std::get<storage::feed_error>(res).message);
            plan_turns();
        });
}

void weights_process::plan_turns()
{
    for (auto const& [model, it] : named_)
    {
        std::vector<kernel::endpoint_id> ids;
        for (auto const& entry : endpoint_list_.entries())
        {
            if (entry.models.contains(model))
                ids.push_back(entry.id);
        }
        auto const* const listed = endpoint_list_.at(*settings_.engine);
        auto const own = listed != nullptr ? listed->id : kernel::endpoint_id();
        weights::rollout_plan const plan(ids, it.version, {});
        auto const turn = plan.start_delay_of(own).value_or(milliseconds(0));
        updater_.set_target(model, it.version, it.at, it.at + turn);
        log_.write("turn_planned",
                   "model={} version={} endpoint={} endpoints={} turn_ms={}",
                   model.str(), it.version, own.str(), ids.size(),
                   turn.count());
    }
    ask();
}

void weights_process::poll()
{
    auto const now = clock_.now();
    auto pause = poll_current;
    if (updater_.has_outdated_model())
        pause = updater_.reloading(now) ? poll_reloading : poll_behind;
    update_follow_mode(now);
    if (!operators_->reachable() && now - asked_routers_at_ > ask_interval)
    {
        asked_routers_at_ = now;
        publisher_.request_rows();
    }
    poll_timer_.expires_after(pause);
    poll_timer_.async_wait(
        [this](std::error_code ec)
        {
            if (!ec)
                ask();
        });
}

void weights_process::update_follow_mode(kernel::steady_time now)
{
    auto const routers = publisher_.routers();
    auto const mode = follower::choose_follow_mode(
        routers, publisher_.last_row_request(), now);
    if (std::exchange(follow_mode_, mode) == mode)
        return;
    log_.write("store_polling", "periodic={} routers={}",
               mode == follower::follow_mode::periodic, routers);
    operators_->set_mode(mode);
}

void weights_process::ask()
{
    if (asking_)
        return;
    asking_ = true;
    leaving_.on_report_requested();
    engine_.read_report(
        [this](kernel::result<weights::engine_report> res)
        {
            asking_ = false;
            failed_reports_ = kernel::ok(res) ? 0 : failed_reports_ + 1;
            if (failed_reports_ == reports_until_unreachable)
                publish_unreachable();
            if (kernel::ok(res))
            {
                if (leaving_.on_report())
                    log_.write("engine_stays", "reason=restarted");
                updater_.on_report(kernel::value(res));
                log_changed_weights(kernel::value(res));
                order_if_due();
                publish(kernel::value(res));
            }
            poll();
        });
}

void weights_process::log_changed_weights(weights::engine_report const& report)
{
    if (report.models == logged_models_)
        return;
    logged_models_ = report.models;
    for (auto const& [model, version] : report.models)
    {
        auto const found = named_.find(model);
        log_.write("engine_weights",
                   "model={} version={} named_version={} busy={} "
                   "orders_accepted={}",
                   model.str(), version,
                   found == named_.end() ? 0 : found->second.version,
                   report.busy, report.orders_accepted);
    }
}

void weights_process::publish(weights::engine_report const& report)
{
    wire::engine_state state;
    state.endpoint_incarnation = report.incarnation;
    for (auto const& [model, version] : report.models)
        state.weights.push_back({model, version});
    state.reloading = updater_.reloading(clock_.now());
    state.running = report.running;
    state.waiting = report.waiting;
    state.unanswered = report.unanswered;
    if (std::exchange(stream_events_, report.stream_events) !=
        report.stream_events)
        ++progress_;
    state.progress = progress_;
    state.memory_used = report.memory_used;
    state.memory_total = report.memory_total;
    state.leaving = leaving_.leaving();
    state.request_limit = engine_limit(clock_.now());
    published_ = true;
    last_state_ = state;
    publisher_.publish(state);
}

void weights_process::publish_unreachable()
{
    log_.write("engine_unreachable", "failed_reports={}", failed_reports_);
    last_state_.unreachable = true;
    publisher_.publish(last_state_);
}

/// Tells the routers before they send requests that would be the first to learn
/// of it.
void weights_process::on_engine_leaving()
{
    if (!leaving_.on_announced())
        return;
    log_.write("engine_leaving", "routers={}", publisher_.routers());
    // Without an earlier report, the next one carries it.
    if (!published_)
        return;
    last_state_.leaving = true;
    publisher_.publish(last_state_);
}

/// Not every kind of answer need name the limit, so it ends when none has named
/// it for some time.
std::optional<double>
weights_process::engine_limit(kernel::steady_time now) const
{
    if (!limit_named_at_ || now - *limit_named_at_ > limit_retention)
        return std::nullopt;
    return limit_;
}

void weights_process::on_engine_limit(double per_second)
{
    auto const now = clock_.now();
    if (engine_limit(now) != per_second)
        log_.write("engine_limit", "per_second={} routers={}", per_second,
                   publisher_.routers());
    limit_ = per_second;
    limit_named_at_ = now;
}

void weights_process::order_if_due()
{
    auto const order = updater_.next_order(clock_.now());
    if (!order)
        return;
    engine_.send(*order,
                 [this, order = *order](weights::order_outcome outcome)
                 {
                     log_.write(
                         "ordered",
                         "model={} version={} orders_accepted={} outcome={}",
                         order.model.str(), order.version,
                         order.orders_accepted, weights::to_text(outcome));
                     updater_.on_outcome(order, outcome);
                 });
}

} // namespace endiveward::app
