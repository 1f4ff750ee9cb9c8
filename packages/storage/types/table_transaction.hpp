#ifndef ENDIVEWARD_STORAGE_TYPES_TABLE_TRANSACTION_HPP
#define ENDIVEWARD_STORAGE_TYPES_TABLE_TRANSACTION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::storage
{

/// The row must have this version; 0 means that it must not exist.
struct row_condition
{
    std::string key;
    std::uint64_t version = 0;
};

/// Writes a row, or deletes it if there is no value.
struct row_write
{
    std::string key;
    std::optional<std::string> value;
};

/// All writes take effect if all conditions hold, otherwise none does.
struct table_transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/// The table's definite answer to a transaction.
struct transaction_outcome
{
    bool committed = false;
    /// Rows whose conditions did not hold.
    std::vector<std::string> failed_keys;
};

} // namespace endiveward::storage

#endif
