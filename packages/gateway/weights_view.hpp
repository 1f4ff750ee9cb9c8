#ifndef ENDIVEWARD_GATEWAY_WEIGHTS_VIEW_HPP
#define ENDIVEWARD_GATEWAY_WEIGHTS_VIEW_HPP

#include "gateway/types/weights_status.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"
#include "weights/rollout_plan.hpp"
#include "weights/types/model_target.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace endiveward::gateway
{

class endpoint_record;

/// Tracks which model version each endpoint is expected to serve during the
/// rollout of a new target version.
class weights_view
{
public:
    weights_view(weights::rollout_options options,
                 std::chrono::milliseconds version_deadline);

    void set_deadline(std::chrono::milliseconds version_deadline);
    /// Sets the target version. `endpoints` are those that serve the model. No
    /// `announced_at` means that the version was named before this process
    /// started.
    void set_target(weights::model_target const& target,
                    std::vector<kernel::endpoint_id> endpoints,
                    std::optional<kernel::steady_time> announced_at,
                    kernel::steady_time now);
    weights::weight_version target_of(kernel::model_id const& model) const;

    weights_status status(endpoint_record const& endpoint,
                          kernel::model_id const& model,
                          kernel::steady_time now) const;
    /// Whether a request that is expected to start at `start` may do so on this
    /// version: the deadline of the next newer one is not reached by then.
    bool may_start(kernel::model_id const& model,
                   weights::weight_version version,
                   kernel::steady_time start) const;
    /// Whether a newer version is being loaded in the place of this one. KV
    /// cache of it is then neither taken from a store nor saved there.
    bool is_replaced(
        kernel::model_id const& model, weights::weight_version version,
        std::span<std::shared_ptr<endpoint_record> const> endpoints) const;
    /// Returns the model version that a request sent now should expect of the
    /// endpoint.
    weights::weight_version version_to_request(endpoint_record const& endpoint,
                                               kernel::model_id const& model,
                                               kernel::steady_time now) const;

private:
    struct rollout
    {
        weights::weight_version version = 0;
        kernel::steady_time announced_at{};
        std::shared_ptr<weights::rollout_plan const> plan;
        /// Announcement time of each version, for the deadline of older
        /// versions.
        std::map<weights::weight_version, kernel::steady_time>
            announcement_times;
    };

    /// When requests must no longer start on this version; none if no newer
    /// one was named.
    std::optional<kernel::steady_time>
    deadline_of(rollout const& current, weights::weight_version version) const;
    bool expired(rollout const& current, weights::weight_version version,
                 kernel::steady_time now) const;

    weights::rollout_options options_;
    std::chrono::milliseconds deadline_;
    std::map<kernel::model_id, rollout> rollouts_;
};

} // namespace endiveward::gateway

#endif
