#ifndef ENDIVEWARD_STORAGE_TYPES_TABLE_ROW_HPP
#define ENDIVEWARD_STORAGE_TYPES_TABLE_ROW_HPP

#include <cstdint>
#include <string>

namespace endiveward::storage
{

/// A row of a table that can be followed.
struct table_row
{
    std::string key;
    std::string value;
    /// Grows with each change of any row of the store.
    std::uint64_t version = 0;
    bool deleted = false;

    bool operator==(table_row const&) const = default;
};

} // namespace endiveward::storage

#endif
