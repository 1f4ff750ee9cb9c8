#ifndef ENDIVEWARD_WIRE_TYPES_TABLE_ROWS_HPP
#define ENDIVEWARD_WIRE_TYPES_TABLE_ROWS_HPP

#include "wire/types/table_row.hpp"

#include <vector>

namespace endiveward::wire
{

/// Rows of the operators' table.
struct table_rows
{
    std::vector<table_row> rows;

    bool operator==(table_rows const&) const = default;
};

} // namespace endiveward::wire

#endif
