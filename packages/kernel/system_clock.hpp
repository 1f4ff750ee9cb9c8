#ifndef ENDIVEWARD_KERNEL_SYSTEM_CLOCK_HPP
#define ENDIVEWARD_KERNEL_SYSTEM_CLOCK_HPP

#include "kernel/i_clock.hpp"

namespace endiveward::kernel
{

/// The clocks of the operating system.
class system_clock : public i_clock
{
public:
    steady_time now() const override
    {
        return std::chrono::steady_clock::now();
    }
    wall_time wall_now() const override
    {
        return std::chrono::system_clock::now();
    }
};

} // namespace endiveward::kernel

#endif
