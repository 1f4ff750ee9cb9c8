#ifndef ENDIVEWARD_WIRE_TYPES_MEMBER_HPP
#define ENDIVEWARD_WIRE_TYPES_MEMBER_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/process_role.hpp"

#include <cstdint>
#include <string>

namespace endiveward::wire
{

/// A process that takes part in gossip.
struct member
{
    kernel::process_id process;
    process_role role = process_role::router;
    std::string address;
    std::uint16_t port = 0;
    kernel::region_id region;
    kernel::zone_id zone;
    kernel::incarnation incarnation = 0;
    bool leaving = false;

    bool operator==(member const&) const = default;
};

} // namespace endiveward::wire

#endif
