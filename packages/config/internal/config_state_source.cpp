#include "config/config_state_source.hpp"

#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"

#include <nlohmann/json.hpp>

namespace endiveward::config
{

config_state_source::config_state_source(
    std::shared_ptr<i_config_state const> configuration, std::string role,
    kernel::region_id region, kernel::zone_id zone)
    : configuration_(std::move(configuration))
    , role_(std::move(role))
    , region_(std::move(region))
    , zone_(std::move(zone))
{
}

nlohmann::json config_state_source::dump() const
{
    return {{"version", configuration_->current()->version()},
            {"role", role_},
            {"region", region_.str()},
            {"zone", zone_.str()}};
}

} // namespace endiveward::config
