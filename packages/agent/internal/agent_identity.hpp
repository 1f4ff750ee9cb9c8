#ifndef ENDIVEWARD_AGENT_AGENT_IDENTITY_HPP
#define ENDIVEWARD_AGENT_AGENT_IDENTITY_HPP

#include "wire/i_local_identity.hpp"

#include <memory>

namespace endiveward::config
{
class i_config_state;
}

namespace endiveward::agent
{

class load_reporter;

/// Builds the hello message that the agent sends on each connection.
class agent_identity : public wire::i_local_identity
{
    std::shared_ptr<load_reporter const> load_;
    std::shared_ptr<config::i_config_state const> configuration_;

public:
    /// `base_hello` holds the fields that stay constant while the process runs.
    agent_identity(std::shared_ptr<load_reporter const> load,
                   std::shared_ptr<config::i_config_state const> configuration,
                   wire::hello base_hello);

    wire::hello describe() const override;

private:
    wire::hello const base_hello_;
};

} // namespace endiveward::agent

#endif
