#include "endiveward/subcommands.hpp"

#include "endiveward/run_command.hpp"

#include <array>

namespace endiveward::app
{

namespace
{

constexpr std::array table{
    subcommand{"run", "run a router", run_router},
};

} // namespace

std::span<subcommand const> subcommands()
{
    return table;
}

} // namespace endiveward::app
