#ifndef ENDIVEWARD_STAND_INS_VM_LISTING_HPP
#define ENDIVEWARD_STAND_INS_VM_LISTING_HPP

#include "kernel/i_clock.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace endiveward::stand_ins
{

/// The list of VMs as callers see it: changes become visible after a lag.
class vm_listing
{
public:
    explicit vm_listing(std::chrono::milliseconds lag)
        : lag_(lag)
    {
        history_.emplace_back(kernel::steady_time(), nlohmann::json::array());
    }

    void set_lag(std::chrono::milliseconds lag) { lag_ = lag; }
    /// While stale, the list stays as it is.
    void set_stale(bool stale, kernel::steady_time now);
    /// Adds or replaces the VM with the entry's `id`.
    void put(nlohmann::json const& vm, kernel::steady_time now);
    void remove(std::string const& id, kernel::steady_time now);
    /// JSON array of the visible VMs.
    nlohmann::json visible(kernel::steady_time now) const;

private:
    void record(kernel::steady_time now);
    nlohmann::json lagging(kernel::steady_time now) const;

    std::chrono::milliseconds lag_;
    std::map<std::string, nlohmann::json> vms_;
    std::deque<std::pair<kernel::steady_time, nlohmann::json>> history_;
    /// Null unless stale.
    nlohmann::json held_;
};

} // namespace endiveward::stand_ins

#endif
