#ifndef ENDIVEWARD_ROUTER_TYPES_LISTED_AGENT_HPP
#define ENDIVEWARD_ROUTER_TYPES_LISTED_AGENT_HPP

#include "config/types/socket_address.hpp"
#include "kernel/types/identifiers.hpp"

namespace endiveward::router
{

/// An agent of the list of VMs.
struct listed_agent
{
    kernel::endpoint_id endpoint;
    config::socket_address address;
};

} // namespace endiveward::router

#endif
