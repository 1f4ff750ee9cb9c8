#ifndef ENDIVEWARD_ROUTER_TYPES_LISTED_AGENT_HPP
#define ENDIVEWARD_ROUTER_TYPES_LISTED_AGENT_HPP

#include "kernel/types/identifiers.hpp"
#include "kernel/types/socket_address.hpp"

namespace endiveward::router
{

/// An agent from the VM list.
struct listed_agent
{
    kernel::endpoint_id endpoint;
    kernel::socket_address address;
};

} // namespace endiveward::router

#endif
