#ifndef ENDIVEWARD_WEIGHTS_TYPES_WEIGHT_VERSION_HPP
#define ENDIVEWARD_WEIGHTS_TYPES_WEIGHT_VERSION_HPP

#include <cstdint>

namespace endiveward::weights
{

/// Version number of a model's weights, starting at 1; 0 means unknown.
using weight_version = std::uint64_t;

} // namespace endiveward::weights

#endif
