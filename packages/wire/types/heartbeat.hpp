#ifndef ENDIVEWARD_WIRE_TYPES_HEARTBEAT_HPP
#define ENDIVEWARD_WIRE_TYPES_HEARTBEAT_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/load_report.hpp"

namespace endiveward::wire
{

/// Sent on idle connections and in answer to a probe.
struct heartbeat
{
    kernel::config_version config_version = 0;
    load_report load;
    /// Asks the receiver to send a heartbeat at once.
    bool probe = false;

    bool operator==(heartbeat const&) const = default;
};

} // namespace endiveward::wire

#endif
