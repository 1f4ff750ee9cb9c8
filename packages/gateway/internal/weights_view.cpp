#include "gateway/weights_view.hpp"

#include "gateway/endpoint_record.hpp"

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

/// A request may wait at the endpoint before it begins, and the version was
/// named somewhat before this process learned of it.
constexpr milliseconds deadline_margin{2500};
/// A request sent just before an endpoint's turn would still be refused.
constexpr milliseconds turn_lead{60};

} // namespace

weights_view::weights_view(weights::rollout_options options,
                           milliseconds version_deadline)
    : options_(options)
    , deadline_(version_deadline)
{
}

void weights_view::set_deadline(milliseconds version_deadline)
{
    deadline_ = version_deadline;
}

void weights_view::set_target(weights::model_target const& target,
                              std::vector<kernel::endpoint_id> endpoints,
                              kernel::steady_time named)
{
    auto& current = rollouts_[target.model];
    if (target.version <= current.version)
        return;
    current.version = target.version;
    current.named = named;
    current.named_at.emplace(target.version, named);
    current.plan = std::make_shared<weights::rollout_plan const>(
        std::move(endpoints), target.version, options_);
}

weights::weight_version
weights_view::target_of(kernel::model_id const& model) const
{
    auto const found = rollouts_.find(model);
    return found == rollouts_.end() ? 0 : found->second.version;
}

bool weights_view::expired(rollout const& current,
                           weights::weight_version version,
                           kernel::steady_time now) const
{
    auto const newer = current.named_at.upper_bound(version);
    return newer != current.named_at.end() &&
           now - newer->second > deadline_ - deadline_margin;
}

weights_standing weights_view::standing(endpoint_record const& endpoint,
                                        kernel::model_id const& model,
                                        kernel::steady_time now) const
{
    auto const found = rollouts_.find(model);
    if (found == rollouts_.end())
        return weights_standing::current;
    auto const& current = found->second;
    auto const version = endpoint.version_of(model);
    if (version >= current.version)
        return endpoint.reloading() ? weights_standing::reloading
                                    : weights_standing::current;
    if (endpoint.linked())
    {
        if (endpoint.reloading())
            return weights_standing::reloading;
        return expired(current, version, now) ? weights_standing::expired
                                              : weights_standing::old;
    }
    auto const turn = current.plan->start_delay_of(endpoint.entry().id);
    // An endpoint that is not part of the plan has started since then.
    auto const begin =
        current.named + turn.value_or(milliseconds(0)) - turn_lead;
    if (!endpoint.still_old(now))
    {
        if (now >= begin + options_.avoid_period)
            return weights_standing::expected_current;
        if (now >= begin)
            return weights_standing::reloading;
    }
    return expired(current, version, now) ? weights_standing::expired
                                          : weights_standing::old;
}

weights::weight_version
weights_view::version_to_ask(endpoint_record const& endpoint,
                             kernel::model_id const& model,
                             kernel::steady_time now) const
{
    auto const version = endpoint.version_of(model);
    // Its agent tells at once when the version changes.
    if (endpoint.linked() && version != 0)
        return version;
    auto const place = standing(endpoint, model, now);
    if (place == weights_standing::expected_current ||
        place == weights_standing::reloading ||
        place == weights_standing::expired)
        return target_of(model);
    return version;
}

} // namespace endiveward::gateway
