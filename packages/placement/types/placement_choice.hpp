#ifndef ENDIVEWARD_PLACEMENT_TYPES_PLACEMENT_CHOICE_HPP
#define ENDIVEWARD_PLACEMENT_TYPES_PLACEMENT_CHOICE_HPP

#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <cstdint>

namespace endiveward::placement
{

/// The chosen endpoint with its expected cache hit and queue wait.
struct placement_choice
{
    kernel::endpoint_id endpoint;
    std::uint64_t expected_hit_bytes = 0;
    std::chrono::milliseconds expected_wait{0};
};

} // namespace endiveward::placement

#endif
