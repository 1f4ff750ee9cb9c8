#ifndef ENDIVEWARD_CONFIG_TYPES_TRAFFIC_HPP
#define ENDIVEWARD_CONFIG_TYPES_TRAFFIC_HPP

#include "kernel/types/identifiers.hpp"

namespace endiveward::config
{

/// What a rule decides on: a workspace's calls to a model version or service.
struct traffic
{
    kernel::workspace_id workspace;
    /// Empty for services.
    kernel::model_id model;
    kernel::model_version version;
    /// Empty for models.
    kernel::service_id service;

    bool operator==(traffic const&) const = default;
};

} // namespace endiveward::config

#endif
