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

/// Describes the agent in its hellos.
class agent_identity : public wire::i_local_identity
{
    std::shared_ptr<load_reporter const> load_;
    std::shared_ptr<config::i_config_state const> configuration_;

public:
    /// `fixed` has what does not change while the process lives.
    agent_identity(std::shared_ptr<load_reporter const> load,
                   std::shared_ptr<config::i_config_state const> configuration,
                   wire::hello fixed);

    wire::hello describe() const override;

private:
    wire::hello const fixed_;
};

} // namespace endiveward::agent

#endif
