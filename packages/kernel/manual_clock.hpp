#ifndef ENDIVEWARD_KERNEL_MANUAL_CLOCK_HPP
#define ENDIVEWARD_KERNEL_MANUAL_CLOCK_HPP

#include "kernel/i_clock.hpp"

namespace endiveward::kernel
{

/// A clock that only moves when told to; for tests and benchmarks.
class manual_clock : public i_clock
{
public:
    steady_time now() const override { return steady_time(elapsed_); }
    wall_time wall_now() const override
    {
        return wall_time(
            std::chrono::duration_cast<wall_time::duration>(elapsed_));
    }

    void advance(std::chrono::nanoseconds step) { elapsed_ += step; }

    /// Sets the time since the start; never moves backwards.
    void advance_to(std::chrono::nanoseconds since_start)
    {
        if (since_start > elapsed_)
            elapsed_ = since_start;
    }

private:
    std::chrono::nanoseconds elapsed_{0};
};

} // namespace endiveward::kernel

#endif
