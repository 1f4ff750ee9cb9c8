#ifndef ENDIVEWARD_WIRE_TYPES_CALL_OUTCOME_HPP
#define ENDIVEWARD_WIRE_TYPES_CALL_OUTCOME_HPP

#include <cstdint>

namespace endiveward::wire
{

enum class call_outcome : std::uint8_t
{
    complete,
    failed,
    cancelled
};

} // namespace endiveward::wire

#endif
