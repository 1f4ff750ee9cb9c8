#include "resumption/recorded_versions.hpp"

namespace endiveward::resumption
{

namespace
{

/// Routers with an older list send to endpoints for some time after others
/// have seen them go.
constexpr std::chrono::seconds list_lag{5};

} // namespace

std::set<kernel::software_version>
recorded_versions::versions_of(kernel::service_id const& service,
                               std::chrono::milliseconds lifetime,
                               kernel::steady_time now) const
{
    std::set<kernel::software_version> res;
    for (auto const& it : items)
    {
        if (it.service == service &&
            (!it.gone || now - *it.gone < lifetime + list_lag))
            res.insert(it.software);
    }
    return res;
}

bool recorded_versions::complete(kernel::service_id const& service,
                                 std::chrono::milliseconds lifetime,
                                 kernel::steady_time now) const
{
    return complete_since && *complete_since <= now - lifetime &&
           !outdated.contains(service);
}

bool recorded_versions::known_at(kernel::steady_time at) const
{
    return !known_until || *known_until >= at;
}

} // namespace endiveward::resumption
