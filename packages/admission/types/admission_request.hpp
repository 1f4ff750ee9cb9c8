#ifndef ENDIVEWARD_ADMISSION_TYPES_ADMISSION_REQUEST_HPP
#define ENDIVEWARD_ADMISSION_TYPES_ADMISSION_REQUEST_HPP

#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstdint>

namespace endiveward::admission
{

/// A call that asks for admission.
struct admission_request
{
    std::uint64_t id = 0;
    /// Lower is more urgent.
    std::uint8_t priority = 0;
    kernel::steady_time deadline;
    /// Expected time at the engine, for the estimate of the queue wait.
    std::chrono::milliseconds expected_service{0};
};

} // namespace endiveward::admission

#endif
