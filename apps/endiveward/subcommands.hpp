#ifndef ENDIVEWARD_ENDIVEWARD_SUBCOMMANDS_HPP
#define ENDIVEWARD_ENDIVEWARD_SUBCOMMANDS_HPP

#include "cli/subcommands.hpp"

#include <vector>

namespace endiveward::app
{

/// All subcommands, in the order in which `--help` lists them.
std::vector<cli::subcommand> subcommands();

} // namespace endiveward::app

#endif
