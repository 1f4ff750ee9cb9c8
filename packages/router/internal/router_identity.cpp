#include "router/router_identity.hpp"

#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "config/types/common_settings.hpp"

namespace endiveward::router
{

router_identity::router_identity(
    config::common_settings const& settings,
    kernel::incarnation own_incarnation,
    std::shared_ptr<config::i_config_state const> configuration)
    : configuration_(std::move(configuration))
{
    own_.role = wire::process_role::router;
    own_.process = settings.name;
    own_.incarnation = own_incarnation;
    own_.region = settings.region;
    own_.zone = settings.zone;
    own_.accepts_part_reports = true;
}

wire::hello router_identity::describe() const
{
    auto out = own_;
    out.config_version = configuration_->current()->version();
    return out;
}

} // namespace endiveward::router
