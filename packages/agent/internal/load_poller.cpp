#include "agent/internal/load_poller.hpp"

#include "agent/i_endpoint_client.hpp"
#include "agent/internal/agent_metrics.hpp"
#include "agent/internal/load_reporter.hpp"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <prometheus/gauge.h>

#include <utility>

namespace endiveward::agent
{

namespace
{

// A single failed poll of a busy engine must not take it out of rotation.
constexpr unsigned failure_threshold = 2;

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance("agent.endpoint");
}

} // namespace

load_poller::load_poller(std::shared_ptr<i_endpoint_client> endpoint,
                         std::shared_ptr<load_reporter> load,
                         std::shared_ptr<agent_metrics> metrics,
                         std::function<void()> on_report,
                         std::function<void()> on_change)
    : endpoint_(std::move(endpoint))
    , load_(std::move(load))
    , metrics_(std::move(metrics))
    , on_report_(std::move(on_report))
    , on_change_(std::move(on_change))
{
}

void load_poller::poll()
{
    if (std::exchange(request_pending_, true))
        return;
    endpoint_->load([self = shared_from_this()](kernel::result<engine_load> res)
                    { self->on_response(std::move(res)); });
}

void load_poller::on_response(kernel::result<engine_load> response)
{
    request_pending_ = false;
    if (!kernel::ok(response))
        return on_failure(kernel::failure(response));
    consecutive_failures_ = 0;
    metrics_->endpoint_up.Set(1);
    auto load = kernel::value(std::move(response));
    bool const restarted = !std::exchange(engine_up_, true) ||
                           load.incarnation != load_->engine_incarnation();
    if (restarted)
        LOG4CPLUS_INFO(logger(), "engine is up: incarnation "
                                     << load.incarnation << ", "
                                     << load.models.size() << " models loaded");
    bool const changed = restarted || load.models != models_;
    models_ = load.models;
    load_->update_engine_load(std::move(load));
    on_report_();
    if (changed)
        on_change_();
}

void load_poller::on_failure(kernel::error const& reason)
{
    if (++consecutive_failures_ < failure_threshold)
        return;
    metrics_->endpoint_up.Set(0);
    load_->mark_engine_unreachable();
    if (!std::exchange(engine_up_, false))
        return;
    LOG4CPLUS_WARN(logger(), "engine is not responding; refusing new calls: "
                                 << reason.message);
    on_change_();
}

} // namespace endiveward::agent
