#include "gateway/retry_budgets.hpp"

#include "gateway/gateway_metrics.hpp"
#include "observe/decision_log.hpp"

namespace endiveward::gateway
{

retry_budgets::retry_budgets(kernel::i_clock const& clock,
                             gateway_metrics& metrics,
                             observe::decision_log& log)
    : clock_(clock)
    , metrics_(metrics)
    , log_(log)
    , extra_from_(clock.now() + retry_budget::window)
{
}

void retry_budgets::set_limits(double ratio, double extra)
{
    ratio_ = ratio;
    extra_ = extra;
    for (auto& [id, it] : budgets_)
        it.set_limits(ratio, extra);
}

void retry_budgets::begin_full()
{
    extra_from_ = kernel::steady_time::min();
}

void retry_budgets::on_request(kernel::service_id const& service)
{
    of(service).on_request(clock_.now());
}

bool retry_budgets::try_retry(kernel::service_id const& service,
                              std::string const& id, std::string_view reason)
{
    auto const now = clock_.now();
    auto& budget = of(service);
    auto const allowed = budget.try_retry(now);
    auto const use = budget.use(now);
    constexpr auto format =
        "id={} service={} reason={} requests={} retries={} fixed={:.2f}";
    if (!allowed)
    {
        log_.write("retry_denied", format, id, service.str(), reason,
                   use.requests, use.retries, use.fixed);
        metrics_.on_retry_denied();
        return false;
    }
    log_.write_routine("retry", format, id, service.str(), reason, use.requests,
                       use.retries, use.fixed);
    metrics_.on_retry(std::string(reason));
    return true;
}

bool retry_budgets::has_spare(kernel::service_id const& service)
{
    auto const now = clock_.now();
    auto& budget = of(service);
    auto const left = budget.remaining(now);
    return left >= 1 && left > budget.use(now).retries;
}

// Load pattern: all routers are killed again and again while endpoints refuse
// or fail requests. Each new process would use a whole fixed part, and routers
// that start together may divide it by a number of routers that is still too
// low. The share of the requests is safe: a process earns it by its own ones.
retry_budget& retry_budgets::of(kernel::service_id const& service)
{
    return budgets_.try_emplace(service, ratio_, extra_, extra_from_)
        .first->second;
}

} // namespace endiveward::gateway
