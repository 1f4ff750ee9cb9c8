#ifndef ENDIVEWARD_FOLLOWER_ENDPOINT_SNAPSHOT_HPP
#define ENDIVEWARD_FOLLOWER_ENDPOINT_SNAPSHOT_HPP

#include "gateway/types/endpoint_entry.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/socket_address.hpp"

#include <vector>

namespace endiveward::follower
{

/// The list of endpoints at one moment. An agent computes from it when its
/// engine loads new weights.
class endpoint_snapshot
{
public:
    void set(std::vector<gateway::endpoint_entry> entries,
             kernel::steady_time now);

    std::vector<gateway::endpoint_entry> const& entries() const
    {
        return entries_;
    }
    /// Returns the endpoint at an address, or null.
    gateway::endpoint_entry const*
    at(kernel::socket_address const& address) const;
    /// Whether the list can be used for another version: it is recent and
    /// contains the agent's own engine.
    bool usable(kernel::socket_address const& own,
                kernel::steady_time now) const;

private:
    std::vector<gateway::endpoint_entry> entries_;
    kernel::steady_time read_at_{};
};

} // namespace endiveward::follower

#endif
