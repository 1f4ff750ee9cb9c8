#ifndef ENDIVEWARD_STORAGE_TYPES_TABLE_ROW_HPP
#define ENDIVEWARD_STORAGE_TYPES_TABLE_ROW_HPP

#include "kernel/types/store_position.hpp"

#include <string>

namespace endiveward::storage
{

/// A row of a table that can be followed.
struct table_row
{
    std::string key;
    std::string value;
    /// Of the row's last change.
    kernel::store_position position;
    bool deleted = false;

    bool operator==(table_row const&) const = default;
};

} // namespace endiveward::storage

#endif
