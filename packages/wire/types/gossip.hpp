#ifndef ENDIVEWARD_WIRE_TYPES_GOSSIP_HPP
#define ENDIVEWARD_WIRE_TYPES_GOSSIP_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/member.hpp"

#include <vector>

namespace endiveward::wire
{

/// Periodic exchange between routers.
struct gossip
{
    kernel::config_version config_version = 0;
    std::vector<member> members;

    bool operator==(gossip const&) const = default;
};

} // namespace endiveward::wire

#endif
