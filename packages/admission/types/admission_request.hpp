#ifndef ENDIVEWARD_ADMISSION_TYPES_ADMISSION_REQUEST_HPP
#define ENDIVEWARD_ADMISSION_TYPES_ADMISSION_REQUEST_HPP

#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstdint>

namespace endiveward::admission
{

/// A call submitted to the admission queue.
struct admission_request
{
    std::uint64_t id = 0;
    /// Lower values are more urgent.
    std::uint8_t priority = 0;
    kernel::steady_time deadline;
    /// Expected service time at the engine, to estimate queue waits; 0 uses the
    /// average.
    std::chrono::milliseconds expected_service{0};
};

} // namespace endiveward::admission

#endif
