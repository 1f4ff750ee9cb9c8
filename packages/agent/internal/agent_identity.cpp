#include "agent/internal/agent_identity.hpp"

#include "agent/internal/load_reporter.hpp"
#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"

#include <utility>

namespace endiveward::agent
{

agent_identity::agent_identity(
    std::shared_ptr<load_reporter const> load,
    std::shared_ptr<config::i_config_state const> configuration,
    wire::hello fixed)
    : load_(std::move(load))
    , configuration_(std::move(configuration))
    , fixed_(std::move(fixed))
{
}

wire::hello agent_identity::describe() const
{
    auto own = fixed_;
    own.config_version = configuration_->current()->version();
    own.load = load_->latest();
    return own;
}

} // namespace endiveward::agent
