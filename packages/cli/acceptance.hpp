#ifndef ENDIVEWARD_CLI_ACCEPTANCE_HPP
#define ENDIVEWARD_CLI_ACCEPTANCE_HPP

#include "kernel/types/identifiers.hpp"

#include <string>
#include <vector>

namespace endiveward::cli
{

/// What the operators' listener of one process said about its configuration.
struct process_report
{
    std::string address;
    bool reachable = false;
    kernel::config_version version = 0;
    /// Region and zone; of an unreachable process as far as they are known.
    std::string region;
    std::string zone;
    /// `agent` or `router`
    std::string role;
    /// Why there is no answer.
    std::string problem;
};

struct acceptance
{
    bool accepted = false;
    /// What is missing in reachable regions, one sentence each.
    std::vector<std::string> missing;
    /// Regions of which no agent answers.
    std::vector<std::string> cut_off;
};

/// Whether a version counts as accepted: in each region with an agent that
/// answers, two agents in different zones hold it, or every agent if there are
/// fewer than two zones. Not accepted if no agent answers at all.
acceptance judge_acceptance(std::vector<process_report> const& reports,
                            kernel::config_version version);

} // namespace endiveward::cli

#endif
