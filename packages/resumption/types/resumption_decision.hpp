#ifndef ENDIVEWARD_RESUMPTION_TYPES_RESUMPTION_DECISION_HPP
#define ENDIVEWARD_RESUMPTION_TYPES_RESUMPTION_DECISION_HPP

#include "kernel/types/identifiers.hpp"

#include <variant>

namespace endiveward::resumption
{

/// The stream goes on at an endpoint with this software version.
struct resume_at
{
    kernel::software_version software;

    bool operator==(resume_at const&) const = default;
};

/// Agents may know where the stream began.
struct ask_agents
{
    bool operator==(ask_agents const&) const = default;
};

/// It is not known at which of several software versions the stream began.
struct reject_resumption
{
    bool operator==(reject_resumption const&) const = default;
};

using resumption_decision =
    std::variant<resume_at, ask_agents, reject_resumption>;

} // namespace endiveward::resumption

#endif
