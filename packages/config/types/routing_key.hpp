#ifndef ENDIVEWARD_CONFIG_TYPES_ROUTING_KEY_HPP
#define ENDIVEWARD_CONFIG_TYPES_ROUTING_KEY_HPP

#include "kernel/types/identifiers.hpp"

namespace endiveward::config
{

/// The attributes of a call that rules match: its workspace and the model
/// version or service that it addresses.
struct routing_key
{
    kernel::workspace_id workspace;
    /// Empty for services.
    kernel::model_id model;
    kernel::model_version version;
    /// Empty for models.
    kernel::service_id service;

    bool operator==(routing_key const&) const = default;
};

} // namespace endiveward::config

#endif
