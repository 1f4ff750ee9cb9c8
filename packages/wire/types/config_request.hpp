#ifndef ENDIVEWARD_WIRE_TYPES_CONFIG_REQUEST_HPP
#define ENDIVEWARD_WIRE_TYPES_CONFIG_REQUEST_HPP

#include "kernel/types/identifiers.hpp"

namespace endiveward::wire
{

/// Asks for all changes after the known version.
struct config_request
{
    kernel::config_version known_version = 0;

    bool operator==(config_request const&) const = default;
};

} // namespace endiveward::wire

#endif
