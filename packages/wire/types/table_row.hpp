#ifndef ENDIVEWARD_WIRE_TYPES_TABLE_ROW_HPP
#define ENDIVEWARD_WIRE_TYPES_TABLE_ROW_HPP

#include <cstdint>
#include <string>

namespace endiveward::wire
{

/// A row of the operators' table as it lies in the store.
struct table_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    bool operator==(table_row const&) const = default;
};

} // namespace endiveward::wire

#endif
