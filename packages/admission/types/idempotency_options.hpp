#ifndef ENDIVEWARD_ADMISSION_TYPES_IDEMPOTENCY_OPTIONS_HPP
#define ENDIVEWARD_ADMISSION_TYPES_IDEMPOTENCY_OPTIONS_HPP

#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <cstddef>

namespace endiveward::admission
{

struct idempotency_options
{
    kernel::endpoint_id endpoint;
    std::chrono::milliseconds table_timeout{1000};
    /// Answers with a larger body are not stored.
    std::size_t max_answer_bytes = 16U << 10U;
    /// Maximum number of finished calls kept in memory.
    std::size_t max_entries = 10'000;
};

} // namespace endiveward::admission

#endif
