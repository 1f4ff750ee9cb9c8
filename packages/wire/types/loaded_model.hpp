#ifndef ENDIVEWARD_WIRE_TYPES_LOADED_MODEL_HPP
#define ENDIVEWARD_WIRE_TYPES_LOADED_MODEL_HPP

#include "kernel/types/identifiers.hpp"

namespace endiveward::wire
{

/// A model version that an engine serves.
struct loaded_model
{
    kernel::model_id model;
    kernel::model_version version;

    auto operator<=>(loaded_model const&) const = default;
};

} // namespace endiveward::wire

#endif
