#ifndef ENDIVEWARD_WIRE_TYPES_PROCESS_ROLE_HPP
#define ENDIVEWARD_WIRE_TYPES_PROCESS_ROLE_HPP

#include <cstdint>

namespace endiveward::wire
{

enum class process_role : std::uint8_t
{
    router,
    agent,
    operator_client
};

} // namespace endiveward::wire

#endif
