#ifndef ENDIVEWARD_ROUTER_CONFIG_STATE_SOURCE_HPP
#define ENDIVEWARD_ROUTER_CONFIG_STATE_SOURCE_HPP

#include "observe/i_state_source.hpp"

#include <memory>

namespace endiveward::config
{
class i_config_state;
}

namespace endiveward::router
{

/// The section `config` of the state dump: the version in force.
class config_state_source : public observe::i_state_source
{
public:
    explicit config_state_source(
        std::shared_ptr<config::i_config_state const> configuration);

    std::string_view section() const override { return "config"; }
    nlohmann::json dump() const override;

private:
    std::shared_ptr<config::i_config_state const> configuration_;
};

} // namespace endiveward::router

#endif
