#ifndef ENDIVEWARD_KERNEL_TYPES_STORE_POSITION_HPP
#define ENDIVEWARD_KERNEL_TYPES_STORE_POSITION_HPP

#include <compare>
#include <cstdint>

namespace endiveward::kernel
{

/// A point in the history of the platform's store. The store gives versions
/// out again after it was restored from a copy, so they are comparable only
/// within an era.
struct store_position
{
    /// Grows with each restore from a copy; 0 if the store names no era.
    std::uint64_t era = 0;
    /// Grows with each change of any row.
    std::uint64_t version = 0;

    // clang-tidy 14 takes the zero of a rewritten comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(store_position const&) const = default;
};

} // namespace endiveward::kernel

#endif
