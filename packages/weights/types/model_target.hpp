#ifndef ENDIVEWARD_WEIGHTS_TYPES_MODEL_TARGET_HPP
#define ENDIVEWARD_WEIGHTS_TYPES_MODEL_TARGET_HPP

#include "kernel/types/identifiers.hpp"
#include "weights/types/weight_version.hpp"

namespace endiveward::weights
{

/// Target version of a model's weights.
struct model_target
{
    kernel::model_id model;
    weight_version version = 0;

    bool operator==(model_target const&) const = default;
};

} // namespace endiveward::weights

#endif
