#ifndef ENDIVEWARD_STORAGE_TYPES_ROW_BATCH_HPP
#define ENDIVEWARD_STORAGE_TYPES_ROW_BATCH_HPP

#include "kernel/types/store_position.hpp"
#include "storage/types/table_row.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace endiveward::storage
{

/// Rows of a table as of one point in the history of the store.
struct row_batch
{
    std::vector<table_row> rows;
    /// Its era is 0 if the answer names none.
    kernel::store_position position;
    /// Why the answer names no era; empty if it names one.
    std::string era_reason = {};
    /// Time of the store's steady clock.
    std::chrono::milliseconds store_time{0};
};

} // namespace endiveward::storage

#endif
