#ifndef ENDIVEWARD_ROUTER_TYPES_ROUTER_CONTACT_HPP
#define ENDIVEWARD_ROUTER_TYPES_ROUTER_CONTACT_HPP

#include "kernel/types/identifiers.hpp"
#include "kernel/types/socket_address.hpp"

namespace endiveward::router
{

/// Another router to talk to.
struct router_contact
{
    /// Empty until the router has said its name.
    kernel::process_id process;
    /// Port 0 if it is reachable only by a connection that it opened.
    kernel::socket_address address;
};

} // namespace endiveward::router

#endif
