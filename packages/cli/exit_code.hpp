#ifndef ENDIVEWARD_CLI_EXIT_CODE_HPP
#define ENDIVEWARD_CLI_EXIT_CODE_HPP

namespace endiveward::cli
{

/// Exit codes of the operator subcommands.
enum exit_code : int
{
    exit_accepted = 0,
    /// Any other error, also a change whose outcome is unknown.
    exit_other = 1,
    exit_usage = 2,
    exit_conflict = 3,
    exit_store_unavailable = 4,
    /// Committed, but not yet held by enough agents.
    exit_not_confirmed = 5
};

} // namespace endiveward::cli

#endif
