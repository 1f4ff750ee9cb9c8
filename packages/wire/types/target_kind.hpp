#ifndef ENDIVEWARD_WIRE_TYPES_TARGET_KIND_HPP
#define ENDIVEWARD_WIRE_TYPES_TARGET_KIND_HPP

#include <cstdint>

namespace endiveward::wire
{

enum class target_kind : std::uint8_t
{
    engine,
    service
};

} // namespace endiveward::wire

#endif
