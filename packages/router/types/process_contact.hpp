#ifndef ENDIVEWARD_ROUTER_TYPES_ROUTER_CONTACT_HPP
#define ENDIVEWARD_ROUTER_TYPES_ROUTER_CONTACT_HPP

#include "kernel/types/identifiers.hpp"
#include "kernel/types/socket_address.hpp"

namespace endiveward::router
{

/// Another router and its address.
struct router_contact
{
    /// Empty until the router has sent its hello.
    kernel::process_id process;
    /// Port 0 if the router is reachable only through a connection that it
    /// opened.
    kernel::socket_address address;
};

} // namespace endiveward::router

#endif
