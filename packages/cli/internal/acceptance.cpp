#include "cli/acceptance.hpp"

#include <fmt/format.h>

#include <map>
#include <set>

namespace endiveward::cli
{

namespace
{

struct region_view
{
    std::set<std::string> zones;
    std::set<std::string> holding_zones;
    bool reachable = false;
    bool all_hold = true;
};

} // namespace

acceptance judge_acceptance(std::vector<process_report> const& reports,
                            kernel::config_version version)
{
    std::map<std::string, region_view> regions;
    for (auto const& it : reports)
    {
        if (it.role != "agent")
            continue;
        auto& region = regions[it.region];
        bool const holds = it.reachable && it.version >= version;
        region.zones.insert(it.zone);
        region.reachable |= it.reachable;
        region.all_hold &= holds;
        if (holds)
            region.holding_zones.insert(it.zone);
    }
    acceptance res;
    bool any_reachable = false;
    for (auto const& [name, it] : regions)
    {
        any_reachable |= it.reachable;
        if (!it.reachable)
        {
            res.cut_off.push_back(name);
            continue;
        }
        bool const enough =
            it.zones.size() < 2 ? it.all_hold : it.holding_zones.size() >= 2;
        if (!enough)
            res.missing.push_back(
                fmt::format("region {}: agents of {} of 2 availability zones "
                            "hold version {}",
                            name, it.holding_zones.size(), version));
    }
    if (!any_reachable)
        res.missing.emplace_back("no agent answers; name operators' listeners "
                                 "of agents with --confirm");
    res.accepted = res.missing.empty();
    return res;
}

} // namespace endiveward::cli
