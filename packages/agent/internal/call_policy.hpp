#ifndef ENDIVEWARD_AGENT_CALL_POLICY_HPP
#define ENDIVEWARD_AGENT_CALL_POLICY_HPP

#include "kernel/types/error.hpp"
#include "kernel/types/identifiers.hpp"

#include <memory>
#include <optional>

namespace endiveward::config
{
class i_configuration;
}
namespace endiveward::wire
{
struct invoke;
}

namespace endiveward::agent
{

class load_reporter;

/// Identifies the endpoint that this agent serves.
struct endpoint_identity
{
    kernel::endpoint_id id;
    /// Empty for an engine.
    kernel::service_id service;
};

/// Checks whether a call is allowed to run at this endpoint.
class call_policy
{
    std::shared_ptr<load_reporter const> load_;

public:
    call_policy(std::shared_ptr<load_reporter const> load,
                endpoint_identity identity);

    /// Returns the reason for refusing the call (always `not_run`), if any.
    std::optional<kernel::error>
    check(wire::invoke const& call,
          config::i_configuration const& configuration) const;
    /// The part of `check` whose result may change while a call is queued.
    std::optional<kernel::error>
    check_target_and_rules(wire::invoke const& call,
                           config::i_configuration const& configuration) const;

private:
    std::optional<kernel::error>
    check_method_and_path(wire::invoke const& call) const;
    std::optional<kernel::error> check_target(wire::invoke const& call) const;

    endpoint_identity const identity_;
};

} // namespace endiveward::agent

#endif
