#ifndef ENDIVEWARD_ROUTER_TYPES_PUSH_TARGET_HPP
#define ENDIVEWARD_ROUTER_TYPES_PUSH_TARGET_HPP

#include "kernel/types/identifiers.hpp"
#include "router/types/process_contact.hpp"

namespace endiveward::router
{

/// A process to which a configuration update is due.
struct push_target
{
    process_contact contact;
    /// Last version that the process reported; the update starts there.
    kernel::config_version known_version = 0;
};

} // namespace endiveward::router

#endif
