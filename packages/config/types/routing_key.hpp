#ifndef ENDIVEWARD_CONFIG_TYPES_ROUTING_KEY_HPP
#define ENDIVEWARD_CONFIG_TYPES_ROUTING_KEY_HPP

#include "kernel/types/identifiers.hpp"

namespace endiveward::config
{

/// What a rule decides on: a workspace's calls to a model version or service.
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
