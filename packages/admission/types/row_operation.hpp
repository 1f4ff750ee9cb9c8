#ifndef ENDIVEWARD_ADMISSION_TYPES_ROW_OPERATION_HPP
#define ENDIVEWARD_ADMISSION_TYPES_ROW_OPERATION_HPP

#include "storage/types/table_transaction.hpp"

#include <cstdint>
#include <functional>

namespace endiveward::admission
{

enum class row_outcome : std::uint8_t
{
    committed,
    condition_failed,
    /// The response was lost; the write may have taken effect, or may still do
    /// so.
    unknown,
    /// The write certainly did not take effect.
    not_written
};

/// A conditional write of one row.
struct row_operation
{
    storage::row_condition condition;
    storage::row_write write;
    std::function<void(row_outcome)> on_done;
};

} // namespace endiveward::admission

#endif
