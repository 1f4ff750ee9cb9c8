#ifndef ENDIVEWARD_GATEWAY_WEIGHTS_VIEW_HPP
#define ENDIVEWARD_GATEWAY_WEIGHTS_VIEW_HPP

#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"
#include "weights/rollout_plan.hpp"
#include "weights/types/model_target.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace endiveward::gateway
{

class endpoint_record;

/// How an endpoint stands to the named version of a model.
enum class weights_status
{
    /// It serves the named version, or none is named.
    current,
    /// Its turn has passed: it should serve the named version by now.
    expected_current,
    /// Its turn is on: it refuses requests.
    reloading,
    /// It serves an older version until its turn.
    outdated,
    /// Requests must no longer begin on its older version.
    expired
};

/// Which version each endpoint is expected to serve while a newly named one is
/// rolled out.
class weights_view
{
public:
    weights_view(weights::rollout_options options,
                 std::chrono::milliseconds version_deadline);

    void set_deadline(std::chrono::milliseconds version_deadline);
    /// A version was named; `endpoints` are those of the model's service.
    void set_target(weights::model_target const& target,
                    std::vector<kernel::endpoint_id> endpoints,
                    kernel::steady_time announced);
    weights::weight_version target_of(kernel::model_id const& model) const;

    weights_status status(endpoint_record const& endpoint,
                          kernel::model_id const& model,
                          kernel::steady_time now) const;
    /// The version that a request sent now should ask the endpoint for.
    weights::weight_version version_to_request(endpoint_record const& endpoint,
                                               kernel::model_id const& model,
                                               kernel::steady_time now) const;

private:
    struct rollout
    {
        weights::weight_version version = 0;
        kernel::steady_time announced{};
        std::shared_ptr<weights::rollout_plan const> plan;
        /// When each version since was named, for the deadline of old ones.
        std::map<weights::weight_version, kernel::steady_time> announced_at;
    };

    bool expired(rollout const& current, weights::weight_version version,
                 kernel::steady_time now) const;

    weights::rollout_options options_;
    std::chrono::milliseconds deadline_;
    std::map<kernel::model_id, rollout> rollouts_;
};

} // namespace endiveward::gateway

#endif
