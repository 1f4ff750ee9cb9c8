#ifndef ENDIVEWARD_ROUTER_ROUTER_IDENTITY_HPP
#define ENDIVEWARD_ROUTER_ROUTER_IDENTITY_HPP

#include "wire/i_local_identity.hpp"

#include <memory>

namespace endiveward::config
{
class i_config_state;
struct common_settings;
} // namespace endiveward::config

namespace endiveward::router
{

/// Provides the hello with which this router introduces itself to its peers.
class router_identity : public wire::i_local_identity
{
public:
    router_identity(
        config::common_settings const& settings,
        kernel::incarnation own_incarnation,
        std::shared_ptr<config::i_config_state const> configuration);

    wire::hello describe() const override;

private:
    wire::hello own_;
    std::shared_ptr<config::i_config_state const> configuration_;
};

} // namespace endiveward::router

#endif
