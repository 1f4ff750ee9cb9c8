#ifndef ENDIVEWARD_ROUTER_TYPES_PROCESS_CONTACT_HPP
#define ENDIVEWARD_ROUTER_TYPES_PROCESS_CONTACT_HPP

#include "kernel/types/identifiers.hpp"
#include "kernel/types/socket_address.hpp"

namespace endiveward::router
{

/// Another process and its address.
struct process_contact
{
    /// Empty until the process has sent its hello.
    kernel::process_id process;
    /// Port 0 for an agent, and for a router that is reachable only through a
    /// connection that it opened.
    kernel::socket_address address;
};

} // namespace endiveward::router

#endif
