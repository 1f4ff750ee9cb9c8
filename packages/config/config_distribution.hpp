#ifndef ENDIVEWARD_CONFIG_CONFIG_DISTRIBUTION_HPP
#define ENDIVEWARD_CONFIG_CONFIG_DISTRIBUTION_HPP

#include "kernel/types/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace endiveward::config
{

/// A process that may need a configuration update.
struct distribution_member
{
    enum class role : std::uint8_t
    {
        router,
        agent
    };

    kernel::process_id id;
    role member_role = role::router;
    /// Last version that it reported.
    kernel::config_version version = 0;

    bool operator==(distribution_member const&) const = default;
};

/// Selects the members that a router sends a new version to; does no I/O.
/// Routers that know the same members assign the agents alike by rendezvous
/// hashing, so that they need no coordination.
class config_distribution
{
public:
    /// Number of routers that push to each agent. The second one is a backup in
    /// case the first one fails.
    static constexpr std::size_t routers_per_agent = 2;
    static constexpr std::size_t gossip_fanout = 4;

    explicit config_distribution(kernel::process_id self);

    /// Whether this router is among the first `routers_per_agent` for an agent.
    /// `routers` are the live routers; this one counts whether or not it is
    /// listed.
    bool pushes_to(kernel::process_id const& agent,
                   std::vector<kernel::process_id> const& routers) const;

    /// The members to send `version` to: the agents that this router pushes to,
    /// and at most `gossip_fanout` routers. Members that have the version are
    /// left out. The choice of routers depends on the version, so that
    /// successive versions spread along different paths.
    std::vector<kernel::process_id>
    targets(kernel::config_version version,
            std::vector<distribution_member> const& members) const;

private:
    kernel::process_id self_;
};

} // namespace endiveward::config

#endif
