#ifndef ENDIVEWARD_CLI_SUBCOMMANDS_HPP
#define ENDIVEWARD_CLI_SUBCOMMANDS_HPP

#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace endiveward::config
{
struct router_settings;
}

namespace endiveward::storage
{
class i_object_store;
class i_table;
class i_vm_list;
} // namespace endiveward::storage

namespace endiveward::cli
{

/// An operator subcommand of the binary. `run` takes the arguments from the
/// subcommand's name on and gives an `exit_code`.
struct subcommand
{
    std::string name;
    std::string brief;
    std::function<int(int argc, char const* const* argv)> run;
};

/// The platform as the subcommands use it.
struct platform_access
{
    std::shared_ptr<storage::i_table> table;
    std::shared_ptr<storage::i_object_store> objects;
    std::shared_ptr<storage::i_vm_list> vms;
};

/// Where subcommands write to and how they reach the platform.
struct environment
{
    std::ostream& out;
    std::ostream& err;
    std::function<platform_access(config::router_settings const&)> open;
};

/// Standard streams and the platform's HTTP services.
environment default_environment();

std::vector<subcommand>
subcommands(environment const& env = default_environment());

} // namespace endiveward::cli

#endif
