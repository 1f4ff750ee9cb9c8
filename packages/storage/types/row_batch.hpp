#ifndef ENDIVEWARD_STORAGE_TYPES_ROW_BATCH_HPP
#define ENDIVEWARD_STORAGE_TYPES_ROW_BATCH_HPP

#include "storage/types/table_row.hpp"

#include <cstdint>
#include <vector>

namespace endiveward::storage
{

/// Rows of a table as of one version of the store.
struct row_batch
{
    std::vector<table_row> rows;
    std::uint64_t version = 0;
};

} // namespace endiveward::storage

#endif
