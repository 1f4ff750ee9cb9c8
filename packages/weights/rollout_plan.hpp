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

/// Sequence in which endpoints load a new version. Routers and agents compute
/// the same plan from the same list of endpoints, without communication;
/// routers avoid an endpoint during its scheduled load.
class rollout_plan
{
public:
    rollout_plan(std::vector<kernel::endpoint_id> endpoints,
                 weight_version version, rollout_options options);

    /// Time from the announcement of the version to the scheduled load of the
    /// endpoint. None if the endpoint is not part of the plan.
    std::optional<std::chrono::milliseconds>
    start_delay_of(kernel::endpoint_id const& id) const;
    /// Time from the announcement to the scheduled load of the last endpoints.
    std::chrono::milliseconds last_start_delay() const;

private:
    std::chrono::milliseconds start_delay_at(std::size_t position) const;

    /// In the sequence of the rollout.
    std::vector<kernel::endpoint_id> endpoints_;
    rollout_options options_;
};

} // namespace endiveward::weights

#endif
