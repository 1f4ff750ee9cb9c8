#ifndef ENDIVEWARD_STORAGE_TYPES_ROW_COMMIT_HPP
#define ENDIVEWARD_STORAGE_TYPES_ROW_COMMIT_HPP

#include "storage/types/row_batch.hpp"

namespace endiveward::storage
{

/// The store's definite answer to a transaction on a table that can be
/// followed.
struct row_commit
{
    bool committed = false;
    /// The position of the transaction or, if a condition did not hold, the
    /// rows that the conditions name.
    row_batch rows;
};

} // namespace endiveward::storage

#endif
