#include "gateway/weights_view.hpp"

#include "gateway/endpoint_record.hpp"

#include <algorithm>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

/// An old version counts as expired, and its endpoint as expensive, in the last
/// quarter of the time that requests may start on it.
constexpr int expiry_divisor = 4;
/// No request is sent that is expected to start in the last seventh of the
/// time, since this process learns of a new version with a delay and the
/// expected wait is an estimate.
constexpr int start_margin_divisor = 7;
/// An endpoint counts as reloading this long before its scheduled reload, since
/// a request that is sent just before would still be refused.
constexpr milliseconds reload_lead{60};

} // namespace

std::string_view to_text(weights_status status)
{
    switch (status)
    {
    case weights_status::current:
        return "current";
    case weights_status::expected_current:
        return "expected_current";
    case weights_status::reloading:
        return "reloading";
    case weights_status::outdated:
        return "outdated";
    case weights_status::expired:
        return "expired";
    }
    return "unknown";
}

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
                              std::optional<kernel::steady_time> announced_at,
                              kernel::steady_time now)
{
    auto& current = rollouts_[target.model];
    if (target.version <= current.version)
        return;
    current.version = target.version;
    // Agents order each load within half of the deadline, so a version that
    // engines still lack was probably named less than that long ago.
    current.announced_at = announced_at.value_or(now - deadline_ / 2);
    current.announcement_times.emplace(target.version, current.announced_at);
    current.plan = std::make_shared<weights::rollout_plan const>(
        std::move(endpoints), target.version, options_);
}

weights::weight_version
weights_view::target_of(kernel::model_id const& model) const
{
    auto const found = rollouts_.find(model);
    return found == rollouts_.end() ? 0 : found->second.version;
}

std::optional<kernel::steady_time>
weights_view::deadline_of(rollout const& current,
                          weights::weight_version version) const
{
    auto const newer = current.announcement_times.upper_bound(version);
    if (newer == current.announcement_times.end())
        return std::nullopt;
    return newer->second + deadline_;
}

bool weights_view::expired(rollout const& current,
                           weights::weight_version version,
                           kernel::steady_time now) const
{
    auto const deadline = deadline_of(current, version);
    return deadline && now > *deadline - deadline_ / expiry_divisor;
}

weights_status weights_view::status(endpoint_record const& endpoint,
                                    kernel::model_id const& model,
                                    kernel::steady_time now) const
{
    auto const found = rollouts_.find(model);
    if (found == rollouts_.end())
        return weights_status::current;
    auto const& current = found->second;
    auto const version = endpoint.version_of(model);
    if (version >= current.version)
        return endpoint.reloading() ? weights_status::reloading
                                    : weights_status::current;
    if (endpoint.linked())
    {
        // An engine that is due to load still starts requests on its old
        // version until it has accepted the order.
        if (expired(current, version, now))
            return weights_status::expired;
        return endpoint.reloading() ? weights_status::reloading
                                    : weights_status::outdated;
    }
    auto const start_delay = current.plan->start_delay_of(endpoint.entry().id);
    // An endpoint that is not in the plan was started after the announcement.
    auto const begin = current.announced_at +
                       start_delay.value_or(milliseconds(0)) - reload_lead;
    if (!endpoint.has_outdated_weights(now))
    {
        if (now >= begin + options_.avoid_period)
            return weights_status::expected_current;
        if (now >= begin)
            return weights_status::reloading;
    }
    return expired(current, version, now) ? weights_status::expired
                                          : weights_status::outdated;
}

bool weights_view::may_start(kernel::model_id const& model,
                             weights::weight_version version,
                             kernel::steady_time start) const
{
    auto const found = rollouts_.find(model);
    if (found == rollouts_.end())
        return true;
    auto const deadline = deadline_of(found->second, version);
    return !deadline || start <= *deadline - deadline_ / start_margin_divisor;
}

// Requests that run during a load go on under the newer weights, with the salt
// of the older ones. What they compute from then on, also for a store, must not
// reach an endpoint that still has the older weights. An endpoint may have the
// newer ones before this process hears of them.
bool weights_view::is_replaced(
    kernel::model_id const& model, weights::weight_version version,
    std::span<std::shared_ptr<endpoint_record> const> endpoints) const
{
    if (version < target_of(model))
        return true;
    return std::any_of(endpoints.begin(), endpoints.end(),
                       [&](auto const& it)
                       { return it->version_of(model) > version; });
}

weights::weight_version
weights_view::version_to_request(endpoint_record const& endpoint,
                                 kernel::model_id const& model,
                                 kernel::steady_time now) const
{
    auto const version = endpoint.version_of(model);
    // The agent reports a change of the version immediately.
    if (endpoint.linked() && version != 0)
        return version;
    auto const current_status = status(endpoint, model, now);
    if (current_status == weights_status::expected_current ||
        current_status == weights_status::reloading ||
        current_status == weights_status::expired)
        return target_of(model);
    return version;
}

} // namespace endiveward::gateway
