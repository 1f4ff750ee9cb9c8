#ifndef ENDIVEWARD_STORAGE_TYPES_ROW_BATCH_HPP
#define ENDIVEWARD_STORAGE_TYPES_ROW_BATCH_HPP

#include "kernel/types/store_position.hpp"
#include "storage/types/table_row.hpp"

#include <vector>

namespace endiveward::storage
{

/// Rows of a table as of one point in the history of the store.
struct row_batch
{
    std::vector<table_row> rows;
    kernel::store_position position;
};

} // namespace endiveward::storage

#endif
