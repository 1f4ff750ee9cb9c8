#ifndef ENDIVEWARD_RESUMPTION_TYPES_RESUMPTION_FACTS_HPP
#define ENDIVEWARD_RESUMPTION_TYPES_RESUMPTION_FACTS_HPP

#include "kernel/types/identifiers.hpp"

#include <optional>
#include <set>

namespace endiveward::resumption
{

/// What a router knows when a caller takes up a stream.
struct resumption_facts
{
    /// The software version at which the stream began, if known.
    std::optional<kernel::software_version> origin;
    /// The software versions at which it may have begun: those that endpoints
    /// of the service have or had lately, and those that agents have named.
    std::set<kernel::software_version> versions;
    /// Whether agents have been asked and need not be waited for any more.
    bool asked = false;
    /// Whether an agent has answered.
    bool answered = false;
    /// Whether this router has a connection to an agent, and whether it reads
    /// the list of endpoints.
    bool linked = false;
    bool list_is_current = false;
    /// Whether `versions` holds all versions that the service has had since the
    /// stream can have begun.
    bool history_complete = false;
};

} // namespace endiveward::resumption

#endif
