#include "router/config_state_source.hpp"

#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"

#include <nlohmann/json.hpp>

namespace endiveward::router
{

config_state_source::config_state_source(
    std::shared_ptr<config::i_config_state const> configuration)
    : configuration_(std::move(configuration))
{
}

nlohmann::json config_state_source::dump() const
{
    return {{"version", configuration_->current()->version()}};
}

} // namespace endiveward::router
