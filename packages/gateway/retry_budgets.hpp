#ifndef ENDIVEWARD_GATEWAY_RETRY_BUDGETS_HPP
#define ENDIVEWARD_GATEWAY_RETRY_BUDGETS_HPP

#include "gateway/retry_budget.hpp"
#include "kernel/types/identifiers.hpp"

#include <unordered_map>

namespace endiveward::gateway
{

/// The retry budgets, one per service.
class retry_budgets
{
public:
    retry_budgets(double ratio, double extra)
        : ratio_(ratio)
        , extra_(extra)
    {
    }

    void set_limits(double ratio, double extra)
    {
        ratio_ = ratio;
        extra_ = extra;
        for (auto& [id, it] : budgets_)
            it.set_limits(ratio, extra);
    }

    retry_budget& of(kernel::service_id const& id)
    {
        return budgets_.try_emplace(id, ratio_, extra_).first->second;
    }

private:
    double ratio_;
    double extra_;
    std::unordered_map<kernel::service_id, retry_budget> budgets_;
};

} // namespace endiveward::gateway

#endif
