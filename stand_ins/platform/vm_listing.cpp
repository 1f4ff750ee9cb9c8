#include "platform/vm_listing.hpp"

namespace endiveward::stand_ins
{

void vm_listing::set_stale(bool stale, kernel::steady_time now)
{
    held_ = stale ? lagging(now) : nlohmann::json();
}

void vm_listing::put(nlohmann::json const& vm, kernel::steady_time now)
{
    vms_[vm.at("id").get<std::string>()] = vm;
    record(now);
}

void vm_listing::remove(std::string const& id, kernel::steady_time now)
{
    vms_.erase(id);
    record(now);
}

nlohmann::json vm_listing::visible(kernel::steady_time now) const
{
    return held_.is_null() ? lagging(now) : held_;
}

void vm_listing::record(kernel::steady_time now)
{
    auto list = nlohmann::json::array();
    for (auto const& [id, vm] : vms_)
        list.push_back(vm);
    history_.emplace_back(now, std::move(list));
}

nlohmann::json vm_listing::lagging(kernel::steady_time now) const
{
    for (auto it = history_.rbegin(); it != history_.rend(); ++it)
        if (it->first + lag_ <= now)
            return it->second;
    return nlohmann::json::array();
}

} // namespace endiveward::stand_ins
