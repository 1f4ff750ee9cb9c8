#ifndef ENDIVEWARD_ADMISSION_TYPES_QUEUE_REFUSAL_HPP
#define ENDIVEWARD_ADMISSION_TYPES_QUEUE_REFUSAL_HPP

#include "kernel/types/error.hpp"

#include <cstdint>

namespace endiveward::admission
{

/// A call that was removed from the queue without having run.
struct queue_refusal
{
    std::uint64_t id = 0;
    kernel::error reason;
};

} // namespace endiveward::admission

#endif
