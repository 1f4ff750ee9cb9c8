#ifndef ENDIVEWARD_QUOTA_TYPES_CHARGE_HPP
#define ENDIVEWARD_QUOTA_TYPES_CHARGE_HPP

#include "kernel/i_clock.hpp"

#include <cstdint>

namespace endiveward::quota
{

using workspace_key = std::uint64_t;

/// What was counted for a request.
struct charge
{
    workspace_key workspace = 0;
    double cost = 0;
    /// One over the share of the limits that this router used then.
    double weight = 1;
    kernel::steady_time at{};
    /// Source of the fact that reports it.
    std::uint64_t source = 0;
};

} // namespace endiveward::quota

#endif
