#ifndef ENDIVEWARD_WIRE_TYPES_TABLE_REQUEST_HPP
#define ENDIVEWARD_WIRE_TYPES_TABLE_REQUEST_HPP

#include "kernel/types/store_position.hpp"

namespace endiveward::wire
{

/// Asks for the rows of the operators' table that changed after a position.
struct table_request
{
    kernel::store_position after;

    bool operator==(table_request const&) const = default;
};

} // namespace endiveward::wire

#endif
