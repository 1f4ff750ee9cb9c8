#ifndef ENDIVEWARD_WEIGHTS_TYPES_WEIGHT_VERSION_HPP
#define ENDIVEWARD_WEIGHTS_TYPES_WEIGHT_VERSION_HPP

#include <cstdint>

namespace endiveward::weights
{

/// Version of a model's weights; they begin at 1. Zero means unknown.
using weight_version = std::uint64_t;

} // namespace endiveward::weights

#endif
