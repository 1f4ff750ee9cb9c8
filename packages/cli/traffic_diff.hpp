#ifndef ENDIVEWARD_CLI_TRAFFIC_DIFF_HPP
#define ENDIVEWARD_CLI_TRAFFIC_DIFF_HPP

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace endiveward::config
{
class configuration;
}

namespace endiveward::cli
{

/// Traffic that a change moves: of one class of workspaces, to one model
/// version or service.
struct traffic_difference
{
    /// Rules that decide before and after; empty if none matches.
    std::string rule_before;
    std::string rule_after;
    std::size_t workspaces = 0;
    std::string example_workspace;
    /// `model/<id>/<version>` or `service/<id>`
    std::string target;
    /// Endpoints that gain or lose this traffic.
    std::vector<std::string> gained;
    std::vector<std::string> lost;
};

/// One entry for each pair of rules, class of workspaces and target whose
/// endpoints differ.
std::vector<traffic_difference>
compare_traffic(config::configuration const& before,
                config::configuration const& after);

nlohmann::json to_json(traffic_difference const& difference);
std::string to_text(traffic_difference const& difference);

} // namespace endiveward::cli

#endif
