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
    wire::hello base_hello)
    : load_(std::move(load))
    , configuration_(std::move(configuration))
    , base_hello_(std::move(base_hello))
{
}

wire::hello agent_identity::describe() const
{
    auto hello = base_hello_;
    hello.config_version = configuration_->current()->version();
    hello.load = load_->latest();
    return hello;
}

} // namespace endiveward::agent
