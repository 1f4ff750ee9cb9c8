#ifndef ENDIVEWARD_ENDIVEWARD_SUBCOMMANDS_HPP
#define ENDIVEWARD_ENDIVEWARD_SUBCOMMANDS_HPP

#include <span>
#include <string_view>

namespace endiveward::app
{

/// A subcommand of `endiveward`.
struct subcommand
{
    std::string_view name;
    std::string_view brief;
    /// Gets the arguments from the subcommand's name on; gives the exit code.
    int (*run)(int argc, char const* const* argv) = nullptr;
};

/// All subcommands, in the order in which `--help` lists them.
std::span<subcommand const> subcommands();

} // namespace endiveward::app

#endif
