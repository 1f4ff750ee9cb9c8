#include "endiveward/subcommands.hpp"

#include "endiveward/run_command.hpp"

namespace endiveward::app
{

std::vector<cli::subcommand> subcommands()
{
    std::vector<cli::subcommand> all{{"run", "run a router", run_router}};
    for (auto& it : cli::subcommands())
        all.push_back(std::move(it));
    return all;
}

} // namespace endiveward::app
