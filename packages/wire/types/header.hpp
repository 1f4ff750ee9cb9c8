#ifndef ENDIVEWARD_WIRE_TYPES_HEADER_HPP
#define ENDIVEWARD_WIRE_TYPES_HEADER_HPP

#include <string>

namespace endiveward::wire
{

/// An HTTP header field.
struct header
{
    std::string name;
    std::string value;

    bool operator==(header const&) const = default;
};

} // namespace endiveward::wire

#endif
