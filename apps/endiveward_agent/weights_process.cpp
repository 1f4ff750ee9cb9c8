#include "endiveward_agent/weights_process.hpp"

#include "follower/cluster_view.hpp"
#include "follower/table_follower.hpp"
#include "gateway/routing_table.hpp"
#include "observe/logging.hpp"
#include "weights/rollout_plan.hpp"

#include <csignal>

namespace endiveward::app
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t lines_per_second = 50;
constexpr milliseconds poll_behind{120};
/// An engine that restarts has the weights that it had before.
constexpr milliseconds poll_current{1000};
constexpr milliseconds flush_interval{500};
constexpr milliseconds endpoints_timeout{900};
/// The store answers as soon as something changes; a longer wait only delays
/// the notice of a store that has fallen silent.
constexpr milliseconds store_wait{5000};

weights::updater_options
updater_options(gateway::process_settings const& settings)
{
    weights::updater_options res;
    res.holder = settings.name.str();
    res.latest_start = settings.version_deadline / 2;
    return res;
}

} // namespace

weights_process::weights_process(gateway::process_settings settings)
    : settings_(std::move(settings))
    , signals_(control_, SIGTERM, SIGINT, SIGHUP)
    , poll_timer_(control_)
    , flush_timer_(control_)
    , log_(clock_, "endiveward.agent", lines_per_second)
    , store_(control_, clock_, settings_.store)
    , engine_(control_, clock_, settings_.engine.value())
    , updater_(updater_options(settings_))
    , view_(std::make_unique<follower::cluster_view>(control_, clock_, decoder_,
                                                     *this, log_))
{
}

weights_process::~weights_process() = default;

int weights_process::run()
{
    log_.write("start", "process={} engine={}:{}", settings_.name.str(),
               settings_.engine->host, settings_.engine->port);
    follower::follower_options options;
    options.table = platform::operators_table;
    options.wait = store_wait;
    operators_ = std::make_shared<follower::table_follower>(
        control_, store_, random_, view_->operators(), options);
    operators_->start();
    std::function<void()> wait_for_signal = [&]
    {
        signals_.async_wait(
            [&](std::error_code ec, int number)
            {
                if (ec)
                    return;
                // Nothing of the settings that an agent uses can change while
                // the engine stays the same.
                if (number == SIGHUP)
                    return wait_for_signal();
                log_.write("stop", "process={}", settings_.name.str());
                control_.stop();
            });
    };
    wait_for_signal();
    std::function<void()> flush = [&]
    {
        observe::flush_logging();
        flush_timer_.expires_after(flush_interval);
        flush_timer_.async_wait(
            [&](std::error_code ec)
            {
                if (!ec)
                    flush();
            });
    };
    flush();
    ask();
    control_.run();
    return 0;
}

void weights_process::on_configuration(
    std::shared_ptr<gateway::routing_table const>)
{
}

void weights_process::on_endpoints(std::vector<gateway::endpoint_entry> const&)
{
}

void weights_process::on_target(weights::model_target const& target,
                                kernel::steady_time named)
{
    named_[target.model] = {target.version, named};
    log_.write("weights_named", "model={} version={}", target.model.str(),
               target.version);
    read_endpoints();
    ask();
}

void weights_process::read_endpoints()
{
    store_.read_all(
        platform::endpoints_table, endpoints_timeout,
        [this](storage::i_row_feed::batch_result res)
        {
            std::vector<gateway::endpoint_entry> entries;
            if (auto const* batch = std::get_if<storage::row_batch>(&res))
            {
                for (auto const& it : batch->rows)
                {
                    auto decoded = decoder_.endpoint_row(it.key, it.value);
                    if (kernel::ok(decoded))
                        entries.push_back(kernel::value(std::move(decoded)));
                }
            }
            else
                log_.write("store_unavailable", "table=endpoints {}",
                           std::get<storage::feed_error>(res).message);
            plan_turns(entries);
        });
}

void weights_process::plan_turns(
    std::vector<gateway::endpoint_entry> const& endpoints)
{
    for (auto const& [model, it] : named_)
    {
        std::vector<kernel::endpoint_id> ids;
        kernel::endpoint_id own;
        for (auto const& entry : endpoints)
        {
            if (!entry.models.contains(model))
                continue;
            ids.push_back(entry.id);
            if (entry.host == settings_.engine->host &&
                entry.port == settings_.engine->port)
                own = entry.id;
        }
        weights::rollout_plan const plan(ids, it.version, {});
        auto const turn = plan.start_of(own).value_or(milliseconds(0));
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
    poll_timer_.expires_after(updater_.behind() ? poll_behind : poll_current);
    poll_timer_.async_wait(
        [this](std::error_code ec)
        {
            if (!ec)
                ask();
        });
}

void weights_process::ask()
{
    if (asking_)
        return;
    asking_ = true;
    engine_.report(
        [this](kernel::result<weights::engine_report> res)
        {
            asking_ = false;
            if (kernel::ok(res))
                updater_.on_report(kernel::value(res));
            order_if_due();
            poll();
        });
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
