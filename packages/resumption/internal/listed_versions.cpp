#include "resumption/listed_versions.hpp"

namespace endiveward::resumption
{

void listed_versions::update(listing current, kernel::steady_time now)
{
    for (auto const& it : current_)
        earlier_[it] = now;
    std::erase_if(earlier_,
                  [&](auto const& it) {
                      return current.contains(it.first) ||
                             now - it.second >= retention_;
                  });
    current_ = std::move(current);
}

std::vector<kernel::software_version>
listed_versions::versions_of(kernel::service_id const& service,
                             kernel::steady_time now) const
{
    std::vector<kernel::software_version> res;
    for (auto const& it : current_)
    {
        if (it.first == service)
            res.push_back(it.second);
    }
    for (auto const& [it, last_listed] : earlier_)
    {
        if (it.first == service && now - last_listed < retention_)
            res.push_back(it.second);
    }
    return res;
}

} // namespace endiveward::resumption
