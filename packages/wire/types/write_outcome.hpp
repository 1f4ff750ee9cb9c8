#ifndef ENDIVEWARD_WIRE_TYPES_WRITE_OUTCOME_HPP
#define ENDIVEWARD_WIRE_TYPES_WRITE_OUTCOME_HPP

#include <cstdint>

namespace endiveward::wire
{

/// What is known about a message when its connection has written or lost it.
enum class write_outcome : std::uint8_t
{
    written,     ///< Handed to the operating system.
    not_started, ///< No byte was handed to the operating system.
    uncertain    ///< Some bytes were handed over before the connection broke.
};

} // namespace endiveward::wire

#endif
