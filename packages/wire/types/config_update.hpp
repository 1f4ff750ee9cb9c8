#ifndef ENDIVEWARD_WIRE_TYPES_CONFIG_UPDATE_HPP
#define ENDIVEWARD_WIRE_TYPES_CONFIG_UPDATE_HPP

#include "kernel/types/identifiers.hpp"

#include <string>

namespace endiveward::wire
{

/// Configuration changes from one version to another, or a snapshot.
struct config_update
{
    kernel::config_version from_version = 0;
    kernel::config_version to_version = 0;
    bool snapshot = false;
    /// JSON, in the form that the table stores.
    std::string body;

    bool operator==(config_update const&) const = default;
};

} // namespace endiveward::wire

#endif
