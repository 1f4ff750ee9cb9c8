#ifndef ENDIVEWARD_WIRE_TYPES_CANCEL_HPP
#define ENDIVEWARD_WIRE_TYPES_CANCEL_HPP

#include <cstdint>

namespace endiveward::wire
{

/// Withdraws a call; the agent answers with `call_end`.
struct cancel
{
    std::uint64_t call_id = 0;

    bool operator==(cancel const&) const = default;
};

} // namespace endiveward::wire

#endif
