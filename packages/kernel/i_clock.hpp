#ifndef ENDIVEWARD_KERNEL_I_CLOCK_HPP
#define ENDIVEWARD_KERNEL_I_CLOCK_HPP

#include <chrono>

namespace endiveward::kernel
{

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

/// Source of time. Decisions read the time only through this interface.
class i_clock
{
public:
    virtual ~i_clock() = default;

    /// Monotonic time, for durations, deadlines and leases.
    virtual steady_time now() const = 0;
    /// Calendar time, for records that people or other processes read.
    virtual wall_time wall_now() const = 0;
};

} // namespace endiveward::kernel

#endif
