#ifndef ENDIVEWARD_GATEWAY_RETRY_BUDGETS_HPP
#define ENDIVEWARD_GATEWAY_RETRY_BUDGETS_HPP

#include "gateway/retry_budget.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace endiveward::observe
{
class decision_log;
}

namespace endiveward::gateway
{

class gateway_metrics;

/// The retry budgets, one per service. Logs and counts the retries that they
/// allow and deny. The fixed part is available after one window, since an
/// earlier process of this router may have used it. Used on the traffic thread.
class retry_budgets
{
public:
    retry_budgets(kernel::i_clock const& clock, gateway_metrics& metrics,
                  observe::decision_log& log);

    /// Share of the requests, and fixed number, of retries of each service in a
    /// window.
    void set_limits(double ratio, double extra);
    /// No earlier process can have used the fixed part. To be called before the
    /// first request.
    void begin_full();
    void on_request(kernel::service_id const& service);
    /// Counts one retry of the request `id`, or returns false if the budget of
    /// the service is used up.
    /// Whether at least half of what the window allows is left, so that a
    /// repetition that is not urgent leaves enough for failures.
    bool has_spare(kernel::service_id const& service);
    bool try_retry(kernel::service_id const& service, std::string const& id,
                   std::string_view reason);

private:
    retry_budget& of(kernel::service_id const& service);

    kernel::i_clock const& clock_;
    gateway_metrics& metrics_;
    observe::decision_log& log_;
    double ratio_ = 0;
    double extra_ = 0;
    kernel::steady_time extra_from_;
    std::unordered_map<kernel::service_id, retry_budget> budgets_;
};

} // namespace endiveward::gateway

#endif
