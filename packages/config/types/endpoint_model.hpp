#ifndef ENDIVEWARD_CONFIG_TYPES_ENDPOINT_MODEL_HPP
#define ENDIVEWARD_CONFIG_TYPES_ENDPOINT_MODEL_HPP

#include "kernel/types/identifiers.hpp"

namespace endiveward::config
{

/// A model version that an endpoint should load.
struct endpoint_model
{
    kernel::model_id model;
    kernel::model_version version;

    bool operator==(endpoint_model const&) const = default;
};

} // namespace endiveward::config

#endif
