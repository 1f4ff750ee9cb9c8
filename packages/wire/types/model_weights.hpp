#ifndef ENDIVEWARD_WIRE_TYPES_MODEL_WEIGHTS_HPP
#define ENDIVEWARD_WIRE_TYPES_MODEL_WEIGHTS_HPP

#include "kernel/types/identifiers.hpp"

#include <cstdint>

namespace endiveward::wire
{

/// The version of a model's weights that an engine serves.
struct model_weights
{
    kernel::model_id model;
    std::uint64_t version = 0;

    bool operator==(model_weights const&) const = default;
};

} // namespace endiveward::wire

#endif
