#ifndef ENDIVEWARD_WIRE_TYPES_TABLE_REQUEST_HPP
#define ENDIVEWARD_WIRE_TYPES_TABLE_REQUEST_HPP

#include <cstdint>

namespace endiveward::wire
{

/// Asks for the rows of the operators' table that are newer than a version.
struct table_request
{
    std::uint64_t after = 0;

    bool operator==(table_request const&) const = default;
};

} // namespace endiveward::wire

#endif
