#include "endiveward/gateway_process.hpp"

#include "endiveward/version_recorder.hpp"
#include "enginelink/agent_links.hpp"
#include "enginelink/link_options.hpp"
#include "follower/cluster_view.hpp"
#include "follower/follow_policy.hpp"
#include "follower/table_follower.hpp"
#include "gateway/gateway.hpp"
#include "gateway/process_budget.hpp"
#include "gateway/routing_table.hpp"
#include "kernel/process_resources.hpp"
#include "observe/logging.hpp"
#include "observe/operator_server.hpp"
#include "platform/boot_file.hpp"
#include "platform/header_names.hpp"
#include "resumption/recorded_versions.hpp"
#include "wire/types/origin_query.hpp"

#include <asio/post.hpp>
#include <prometheus/registry.h>
#include <xxhash.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace endiveward::app
{

namespace
{

using std::chrono::milliseconds;

constexpr int exit_failure = 1;
constexpr std::uint32_t traffic_lines_per_second = 300;
constexpr std::uint32_t control_lines_per_second = 100;
constexpr milliseconds tick_interval{100};
/// The load balancer takes a process out of rotation after it has missed two
/// questions, one a second.
constexpr milliseconds stop_notice{2800};
/// Left of the grace for the last answers and the end of the process itself.
constexpr milliseconds exit_margin{500};
/// The time in which the answers to requests that the process ends are written.
constexpr milliseconds answer_time{200};
/// The settings file may change without a signal.
constexpr milliseconds reload_interval{2000};
constexpr std::uint16_t metrics_port = 9464;
/// How often agents are asked for the operators' table while the store does
/// not answer.
constexpr milliseconds ask_interval{500};
/// A process that gets its share of the processor runs its timers later than
/// planned by less than this.
constexpr milliseconds max_standstill{400};
/// Agents of engines with traffic report several times a second.
constexpr milliseconds max_agent_silence{1500};
/// Operators change the configuration seldom, and it must be in force soon.
constexpr milliseconds operators_pause{200};

} // namespace

gateway_process::gateway_process(gateway::process_settings settings,
                                 std::string path, wire::cluster_key key,
                                 room::room_switch room,
                                 gateway::prompt_mix_mode prompt_mix)
    : settings_(std::move(settings))
    , path_(std::move(path))
    , room_(room)
    , prompt_mix_(prompt_mix)
    , signals_(control_, SIGTERM, SIGINT, SIGHUP)
    , timer_(control_)
    , metrics_(std::make_shared<prometheus::Registry>())
    , control_log_(clock_, "endiveward.control", control_lines_per_second)
    , traffic_log_(clock_, "endiveward.traffic", traffic_lines_per_second)
    , traffic_(1)
    , store_(control_, clock_, settings_.store)
    , view_(std::make_unique<follower::cluster_view>(
          control_, clock_, decoder_, *this, control_log_,
          follower::removal_hold_options{settings_.endpoint_drain_time,
                                         settings_.catch_up_time}))
    , gateway_(std::make_unique<gateway::gateway>(
          traffic_.context(0), clock_, platform::header_names(),
          traffic_settings(), *metrics_, traffic_log_))
    , drain_(stop_notice)
{
    links_ = std::make_unique<enginelink::agent_links>(
        control_, clock_, random_, std::move(key),
        std::make_shared<enginelink::link_identity>(
            wire::process_role::router, settings_.name, settings_.zone, clock_),
        *this, row_exchange_);
    gateway_->set_part_report_handler(
        [this](wire::part_report report)
        {
            asio::post(control_, [this, report = std::move(report)]
                       { links_->send_part_report(report); });
        });
    gateway_->set_limit_report_handler(
        [this](wire::limit_report report)
        {
            asio::post(control_, [this, report = std::move(report)]
                       { links_->send_limit_report(report); });
        });
    gateway_->set_fact_report_handler(
        [this](wire::fact_report report)
        {
            asio::post(control_, [this, report = std::move(report)]
                       { links_->send_fact_report(report); });
        });
    gateway_->set_origin_handlers(
        [this](wire::stream_origins news)
        {
            asio::post(control_, [this, news = std::move(news)]
                       { links_->send_stream_origins(news); });
        },
        [this](wire::origin_query query)
        {
            asio::post(control_, [this, query = std::move(query)]
                       { ask_for_origin(query); });
        });
    start_recorder();
}

gateway_process::~gateway_process() = default;

int gateway_process::run()
{
    control_log_.write("start", "process={} zone={} version={}",
                       settings_.name.str(), settings_.zone.str(),
                       ENDIVEWARD_VERSION);
    if (!listen())
        return exit_failure;
    start_followers();
    wait_for_signal();
    checked_at_ = heard_at_ = clock_.now();
    tick();
    traffic_.start();
    control_.run();
    links_->close();
    traffic_.stop();
    if (ready_server_ != nullptr)
        ready_server_->stop();
    if (metrics_server_ != nullptr)
        metrics_server_->stop();
    control_log_.write("stop", "process={} code={} connections={}",
                       settings_.name.str(), exit_code_, connections_.load());
    gateway_->close_all();
    traffic_.discard_handlers();
    return exit_code_;
}

void gateway_process::start_recorder()
{
    version_recorder::handlers handlers;
    handlers.on_endpoints = [this](version_recorder::endpoints const& list) {
        asio::post(traffic_.context(0),
                   [this, list] { gateway_->apply(list); });
    };
    handlers.on_versions = [this](resumption::recorded_versions const& versions)
    {
        asio::post(traffic_.context(0),
                   [this, versions] { gateway_->apply(versions); });
    };
    handlers.on_news = [this](wire::fact_report const& report)
    { links_->send_fact_report(report); };
    recorder_ = std::make_unique<version_recorder>(
        clock_, store_, control_log_, settings_.name, settings_.first_start,
        std::move(handlers));
}

bool gateway_process::listen()
{
    auto const start = [this](kernel::socket_address const& at)
    {
        observe::operator_server_options options;
        options.address = at.host;
        options.port = at.port;
        options.metrics = metrics_;
        options.open = true;
        options.max_connections = gateway::max_operator_connections;
        options.ready = [this] { return ready_.load(); };
        auto server = std::make_unique<observe::operator_server>(options);
        auto const res = server->start();
        if (!kernel::ok(res))
        {
            control_log_.write("cannot_listen", "reason=\"{}\"",
                               kernel::failure(res).message);
            server.reset();
        }
        return server;
    };
    if (settings_.readiness_address)
        ready_server_ = start(*settings_.readiness_address);
    metrics_server_ = start({settings_.host, metrics_port});
    if (!settings_.listen_address)
    {
        control_log_.write("cannot_listen",
                           "reason=\"the settings name no front address\"");
        return false;
    }
    auto const res = gateway_->listen(settings_.listen_address->host,
                                      settings_.listen_address->port);
    if (!kernel::ok(res))
        control_log_.write("cannot_listen", "reason=\"{}\"",
                           kernel::failure(res).message);
    return kernel::ok(res) &&
           (ready_server_ != nullptr || !settings_.readiness_address);
}

void gateway_process::start_followers()
{
    auto const follow =
        [this](char const* table, follower::i_table_listener& listener)
    {
        follower::follower_options options;
        options.table = table;
        options.long_poll_time = follower::long_poll_time(
            settings_.catch_up_time, options.response_timeout);
        if (table == std::string_view(platform::operators_table))
            options.coalescing_delay = operators_pause;
        else
            options.coalescing_delay = follower::endpoints_coalescing_delay(
                settings_.endpoint_drain_time);
        auto res = std::make_shared<follower::table_follower>(
            control_, clock_, store_, random_, listener, options);
        res->start();
        return res;
    };
    operators_ =
        follow(platform::operators_table, view_->operator_rows_listener());
    row_exchange_.set_follower(operators_);
    row_exchange_.set_view(*view_);
    endpoints_ =
        follow(platform::endpoints_table, view_->endpoint_rows_listener());
    // Reads the recorded versions at the same time.
    recorder_->on_tick(0);
}

void gateway_process::on_configuration(
    std::shared_ptr<gateway::routing_table const> table)
{
    recorder_->on_configuration(table->config());
    asio::post(traffic_.context(0),
               [this, table = std::move(table)] { gateway_->apply(table); });
    update_readiness();
}

void gateway_process::on_endpoints(
    std::vector<gateway::endpoint_entry> const& endpoints)
{
    recorder_->on_endpoints(endpoints);
    std::vector<enginelink::agent_address> agents;
    for (auto const& it : endpoints)
    {
        if (!it.models.empty())
            agents.push_back({it.id, it.host, settings_.internal_port});
    }
    links_->update(agents);
    update_readiness();
}

void gateway_process::update_readiness()
{
    ready_ = view_->complete() && recorder_->settled() && !drain_.draining();
}

void gateway_process::on_target(weights::model_target const& target,
                                storage::table_row const& row,
                                std::optional<kernel::steady_time> announced_at)
{
    // Agents do not follow the table themselves while routers are connected.
    links_->send_row({row.key, row.value, row.position});
    asio::post(traffic_.context(0), [this, target, announced_at]
               { gateway_->apply(target, announced_at); });
}

void gateway_process::on_engine_state(kernel::endpoint_id const& endpoint,
                                      wire::engine_state const& state)
{
    heard_at_ = clock_.now();
    pass_on_report([this, endpoint, state]
                   { gateway_->on_engine_state(endpoint, state); });
}

void gateway_process::on_cache_change(kernel::endpoint_id const& endpoint,
                                      wire::cache_change const& change)
{
    pass_on_report([this, endpoint, change]
                   { gateway_->on_cache_change(endpoint, change); });
}

void gateway_process::on_part_report(wire::part_report const& report)
{
    pass_on_report([this, report] { gateway_->on_part_report(report); });
}

void gateway_process::on_limit_report(wire::limit_report const& report)
{
    pass_on_report([this, report] { gateway_->on_limit_report(report); });
}

void gateway_process::on_fact_report(wire::fact_report const& report)
{
    recorder_->on_report(report);
    pass_on_report([this, report] { gateway_->on_fact_report(report); });
}

void gateway_process::on_origin_answer(wire::origin_answer const& answer)
{
    pass_on_report([this, answer] { gateway_->on_origin_answer(answer); });
}

void gateway_process::ask_for_origin(wire::origin_query const& query)
{
    check_contact();
    auto const reads = recorder_->confirm();
    auto const asked = links_->send_origin_query(query);
    pass_on_report(
        [this, id = query.id, asked, current = endpoints_->reachable(), reads]
        { gateway_->on_origin_asked(id, asked, current, reads); });
}

/// Notices of software versions that other routers have recorded come through
/// agents. Without contact to these, or while the process stands still, they
/// are missed.
void gateway_process::check_contact()
{
    auto const now = clock_.now();
    if (now - std::exchange(checked_at_, now) > max_standstill)
        recorder_->on_out_of_step("standstill");
    if (now - heard_at_ > max_agent_silence)
        recorder_->on_out_of_step("agents_silent");
}

void gateway_process::on_link_lost(kernel::endpoint_id const& endpoint)
{
    recorder_->on_out_of_step("link_lost");
    pass_on_report([this, endpoint] { gateway_->on_link_lost(endpoint); });
}

/// Passes agents' reports on to the traffic thread. Those that have arrived
/// together wake it once.
void gateway_process::pass_on_report(std::function<void()> handler)
{
    reports_.push_back(std::move(handler));
    if (reports_.size() > 1)
        return;
    asio::post(control_,
               [this]
               {
                   asio::post(traffic_.context(0),
                              [reports = std::exchange(reports_, {})]
                              {
                                  for (auto const& it : reports)
                                      it();
                              });
               });
}

void gateway_process::ask_agents()
{
    auto const now = clock_.now();
    if (operators_->reachable() || now - asked_at_ < ask_interval)
        return;
    asked_at_ = now;
    links_->request_rows();
}

void gateway_process::wait_for_signal()
{
    signals_.async_wait(
        [this](std::error_code ec, int number)
        {
            if (ec)
                return;
            wait_for_signal();
            on_signal(number);
        });
}

void gateway_process::on_signal(int number)
{
    if (number == SIGHUP)
        return reload();
    auto const now = clock_.now();
    end_requests_at(now + settings_.stop_grace - exit_margin);
    perform(drain_.on_signal(now));
}

void gateway_process::perform(router::drain_sequence::step next)
{
    using step = router::drain_sequence::step;
    switch (next)
    {
    case step::announce:
        ready_ = false;
        control_log_.write("stopping", "connections={}", connections_.load());
        break;
    case step::close_listeners:
        control_log_.write("listeners_closed", "connections={}",
                           connections_.load());
        asio::post(traffic_.context(0),
                   [this]
                   {
                       gateway_->stop_listening();
                       gateway_->close_idle();
                   });
        break;
    case step::exit:
        end();
        break;
    case step::exit_at_once:
        exit_code_ = exit_failure;
        end_requests_at(clock_.now());
        break;
    case step::none:
        break;
    }
}

void gateway_process::tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](std::error_code ec)
        {
            if (ec)
                return;
            observe::flush_logging();
            check_contact();
            ask_agents();
            recorder_->on_tick(endpoints_->newest_era());
            update_readiness();
            reload_if_changed();
            if (drain_.draining())
            {
                asio::post(traffic_.context(0),
                           [this] { connections_ = gateway_->connections(); });
                perform(drain_.on_tick(clock_.now(), connections_));
                if (clock_.now() >= stop_at_ + answer_time)
                    end();
            }
            tick();
        });
}

void gateway_process::reload_if_changed()
{
    auto const now = clock_.now();
    if (now - looked_at_ < reload_interval)
        return;
    looked_at_ = now;
    std::error_code ec;
    auto const changed = std::filesystem::last_write_time(path_, ec);
    // A file that is being replaced is looked at again.
    if (ec || changed == std::exchange(file_time_, changed))
        return;
    reload();
}

void gateway_process::reload()
{
    auto loaded = platform::read_boot_file(path_);
    if (!kernel::ok(loaded))
    {
        control_log_.write("reload_failed", "reason=\"{}\"",
                           kernel::failure(loaded).message);
        return;
    }
    control_log_.write("reload", "changed={}",
                       !(kernel::value(loaded) == settings_));
    settings_ = std::move(kernel::value(loaded));
    asio::post(traffic_.context(0), [this, next = traffic_settings()]
               { gateway_->set_settings(next); });
}

/// Requests that are still in progress at that time are answered; then the
/// process ends. A second signal ends them sooner, never later.
void gateway_process::end_requests_at(kernel::steady_time at)
{
    stop_at_ = std::min(stop_at_, at);
    asio::post(traffic_.context(0),
               [this, at] { gateway_->announce_stop(at); });
}

void gateway_process::end()
{
    control_.stop();
}

gateway::gateway_settings gateway_process::traffic_settings() const
{
    gateway::gateway_settings res;
    res.zone = settings_.zone;
    res.retry_budget_ratio = settings_.retry_budget_ratio;
    res.retry_budget_extra = settings_.retry_budget_extra;
    res.may_be_restarted = !settings_.first_start;
    res.version_deadline = settings_.version_deadline;
    res.configuration_deadline = settings_.configuration_deadline;
    res.room = room_;
    auto const budget = gateway::budget_of(
        settings_.memory_limit,
        kernel::allowed_descriptors(settings_.descriptor_limit));
    res.max_caller_connections = budget.caller_connections;
    res.buffer_memory_bytes = budget.buffer_memory;
    res.max_buffer_memory_bytes = budget.max_buffer_memory;
    auto const& name = settings_.name.str();
    res.placement.prompt_mix = prompt_mix_;
    res.seed = XXH3_64bits(name.data(), name.size());
    return res;
}

} // namespace endiveward::app
