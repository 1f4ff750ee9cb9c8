#ifndef ENDIVEWARD_WEIGHTS_ROLLOUT_PLAN_HPP
#define ENDIVEWARD_WEIGHTS_ROLLOUT_PLAN_HPP

#include "kernel/types/identifiers.hpp"
#include "weights/types/rollout_options.hpp"
#include "weights/types/weight_version.hpp"

#include <chrono>
#include <optional>
#include <vector>

namespace endiveward::weights
{

/// The order in which endpoints take a new version. Routers and agents compute
/// the same plan from the same list, so that nobody has to be asked: routers
/// avoid an endpoint while its turn lasts.
class rollout_plan
{
public:
    rollout_plan(std::vector<kernel::endpoint_id> endpoints,
                 weight_version version, rollout_options options);

    /// When the endpoint's turn begins, from the moment at which the version
    /// was named. None if the endpoint is not part of the plan.
    std::optional<std::chrono::milliseconds>
    start_delay_of(kernel::endpoint_id const& id) const;
    /// When the last turn begins.
    std::chrono::milliseconds last_start_delay() const;

private:
    std::chrono::milliseconds start_delay_at(std::size_t position) const;

    std::vector<kernel::endpoint_id> endpoints_;
    rollout_options options_;
};

} // namespace endiveward::weights

#endif
