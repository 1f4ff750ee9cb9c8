#ifndef ENDIVEWARD_WIRE_TYPES_TABLE_ROW_HPP
#define ENDIVEWARD_WIRE_TYPES_TABLE_ROW_HPP

#include "kernel/types/store_position.hpp"

#include <string>

namespace endiveward::wire
{

/// A row of the operators' table as it lies in the store.
struct table_row
{
    std::string key;
    std::string value;
    kernel::store_position position;

    bool operator==(table_row const&) const = default;
};

} // namespace endiveward::wire

#endif
