#ifndef ENDIVEWARD_AGENT_AGENT_STATE_SOURCE_HPP
#define ENDIVEWARD_AGENT_AGENT_STATE_SOURCE_HPP

#include "observe/i_state_source.hpp"

#include <memory>
#include <string>

namespace endiveward::config
{
class i_config_state;
}

namespace endiveward::agent
{

class load_reporter;
class router_connections;

/// Provides the agent's section of the state dump.
class agent_state_source : public observe::i_state_source
{
    std::shared_ptr<load_reporter const> load_;
    std::shared_ptr<router_connections const> connections_;
    std::shared_ptr<config::i_config_state const> configuration_;

public:
    agent_state_source(
        std::shared_ptr<load_reporter const> load,
        std::shared_ptr<router_connections const> connections,
        std::shared_ptr<config::i_config_state const> configuration,
        std::string endpoint);

    std::string_view section() const override { return "agent"; }
    nlohmann::json dump() const override;

private:
    std::string const endpoint_;
};

} // namespace endiveward::agent

#endif
