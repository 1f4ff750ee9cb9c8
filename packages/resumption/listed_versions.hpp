#ifndef ENDIVEWARD_RESUMPTION_LISTED_VERSIONS_HPP
#define ENDIVEWARD_RESUMPTION_LISTED_VERSIONS_HPP

#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace endiveward::resumption
{

/// The software versions that the endpoints of each service have, or had within
/// the retention time.
class listed_versions
{
public:
    using listing =
        std::set<std::pair<kernel::service_id, kernel::software_version>>;

    /// Must be at least the time for which streams may be taken up.
    void set_retention(std::chrono::milliseconds retention)
    {
        retention_ = retention;
    }
    /// Replaces the list of the endpoints' versions.
    void update(listing current, kernel::steady_time now);
    std::vector<kernel::software_version>
    versions_of(kernel::service_id const& service,
                kernel::steady_time now) const;
    bool several(kernel::service_id const& service,
                 kernel::steady_time now) const
    {
        return versions_of(service, now).size() > 1;
    }

private:
    std::chrono::milliseconds retention_{0};
    listing current_;
    /// When those that are not in the list any more were last in it.
    std::map<listing::value_type, kernel::steady_time> earlier_;
};

} // namespace endiveward::resumption

#endif
