#include "gateway/endpoint_outages.hpp"

#include "gateway/endpoint_record.hpp"
#include "gateway/types/endpoint_requirements.hpp"
#include "gateway/weights_view.hpp"

#include <algorithm>

namespace endiveward::gateway
{

namespace
{

bool has_expired_weights(endpoint_record const& it,
                         endpoint_requirements const& requirements,
                         weights_view const& weights, kernel::steady_time now)
{
    if (!requirements.prompt)
        return false;
    auto const& model = requirements.prompt->model;
    return !weights.may_start(model, weights.version_to_request(it, model, now),
                              now);
}

} // namespace

std::vector<endpoint_outage>
find_outages(std::span<std::shared_ptr<endpoint_record> const> endpoints,
             endpoint_requirements const& requirements,
             weights_view const& weights, kernel::steady_time now)
{
    std::vector<endpoint_outage> res;
    res.reserve(endpoints.size());
    for (auto const& it : endpoints)
    {
        if (requirements.software &&
            it->entry().software != *requirements.software)
            continue;
        endpoint_outage outage;
        outage.until = it->unusable_until(now);
        outage.loading = it->reloading() ||
                         has_expired_weights(*it, requirements, weights, now);
        if (auto const limited_until = it->limited_until(now))
        {
            outage.until = limited_until;
            outage.limited = true;
        }
        auto const& tried = requirements.excluded;
        outage.tried = std::find(tried.begin(), tried.end(), it->entry().id) !=
                       tried.end();
        res.push_back(outage);
    }
    return res;
}

} // namespace endiveward::gateway
