#include "cli/traffic_diff.hpp"

#include "config/configuration.hpp"
#include "config/types/routing_key.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

namespace endiveward::cli
{

namespace
{

using config::configuration;

struct workspace_group
{
    std::string example;
    std::size_t count = 0;
};

// Classes of a workspace before and after.
using class_pair =
    std::pair<std::optional<std::size_t>, std::optional<std::size_t>>;

std::map<class_pair, workspace_group> group(configuration const& before,
                                            configuration const& after)
{
    std::map<class_pair, workspace_group> res;
    auto ids = before.data()->workspaces;
    ids.insert(after.data()->workspaces.begin(),
               after.data()->workspaces.end());
    for (auto const& it : ids)
    {
        kernel::workspace_id const id(it.first);
        auto& next =
            res[{before.workspace_class(id), after.workspace_class(id)}];
        if (next.count++ == 0)
            next.example = it.first;
    }
    return res;
}

void add_targets(configuration const& what,
                 std::map<std::string, config::routing_key>& out)
{
    for (auto const& [id, model] : what.data()->models)
        for (auto const& it : model->versions)
            out[fmt::format("model/{}/{}", id, it.version.str())] = {
                {}, model->id, it.version, {}};
    for (auto const& [id, service] : what.data()->services)
        out[fmt::format("service/{}", id)] = {{}, {}, {}, service->id};
}

std::string rule_name(configuration const& what,
                      config::routing_key const& traffic)
{
    auto const rule = what.first_matching_rule(traffic);
    return rule ? what.rules()[*rule].name : "";
}

std::vector<std::string> names(configuration const& what,
                               config::routing_key const& traffic)
{
    std::vector<std::string> res;
    for (auto const& it : *what.allowed_endpoints(traffic))
        res.push_back(it.str());
    return res;
}

std::vector<std::string> minus(std::vector<std::string> const& lhs,
                               std::vector<std::string> const& rhs)
{
    std::vector<std::string> res;
    std::set_difference(lhs.begin(), lhs.end(), rhs.begin(), rhs.end(),
                        std::back_inserter(res));
    return res;
}

} // namespace

std::vector<traffic_difference> compare_traffic(configuration const& before,
                                                configuration const& after)
{
    std::map<std::string, config::routing_key> targets;
    add_targets(before, targets);
    add_targets(after, targets);
    std::vector<traffic_difference> res;
    for (auto const& it : group(before, after))
        for (auto [target, traffic] : targets)
        {
            traffic.workspace = kernel::workspace_id(it.second.example);
            auto const old_names = names(before, traffic);
            auto const new_names = names(after, traffic);
            if (old_names == new_names)
                continue;
            res.push_back(
                {rule_name(before, traffic), rule_name(after, traffic),
                 it.second.count, it.second.example, target,
                 minus(new_names, old_names), minus(old_names, new_names)});
        }
    return res;
}

nlohmann::json to_json(traffic_difference const& difference)
{
    return {{"rule_before", difference.rule_before},
            {"rule_after", difference.rule_after},
            {"workspaces", difference.workspaces},
            {"example_workspace", difference.example_workspace},
            {"target", difference.target},
            {"gained", difference.gained},
            {"lost", difference.lost}};
}

std::string to_text(traffic_difference const& difference)
{
    auto const rule = [](std::string const& name)
    { return name.empty() ? std::string("no rule") : name; };
    return fmt::format(
        "{} -> {}: {} workspaces (such as {}), {}: gained by "
        "[{}], lost by [{}]",
        rule(difference.rule_before), rule(difference.rule_after),
        difference.workspaces, difference.example_workspace, difference.target,
        fmt::join(difference.gained, ", "), fmt::join(difference.lost, ", "));
}

} // namespace endiveward::cli
