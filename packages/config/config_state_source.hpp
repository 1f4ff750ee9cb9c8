#ifndef ENDIVEWARD_CONFIG_CONFIG_STATE_SOURCE_HPP
#define ENDIVEWARD_CONFIG_CONFIG_STATE_SOURCE_HPP

#include "kernel/types/identifiers.hpp"
#include "observe/i_state_source.hpp"

#include <memory>
#include <string>

namespace endiveward::config
{

class i_config_state;

/// State dump section `config`: the version in force in this process, and where
/// the process runs. Operators' subcommands read it to show which processes
/// have applied a change.
class config_state_source : public observe::i_state_source
{
public:
    /// `role` is `router` or `agent`.
    config_state_source(std::shared_ptr<i_config_state const> configuration,
                        std::string role, kernel::region_id region,
                        kernel::zone_id zone);

    std::string_view section() const override { return "config"; }
    nlohmann::json dump() const override;

private:
    std::shared_ptr<i_config_state const> const configuration_;
    std::string const role_;
    kernel::region_id const region_;
    kernel::zone_id const zone_;
};

} // namespace endiveward::config

#endif
