#ifndef ENDIVEWARD_ROOM_TYPES_WAITING_REQUEST_HPP
#define ENDIVEWARD_ROOM_TYPES_WAITING_REQUEST_HPP

#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace endiveward::room
{

/// A request that may have to wait for capacity.
struct waiting_request
{
    /// Unique among the requests of the process.
    std::uint64_t ticket = 0;
    std::uint64_t workspace = 0;
    /// Share of the workspace relative to that of others.
    double weight = 1;
    /// 0 is the highest.
    int priority = 0;
    /// The same for a retry of the caller: a hash of its key and prompt.
    std::uint64_t caller = 0;
    /// Memory of the router that it occupies.
    std::size_t bytes = 0;
    /// Uncached prompt tokens.
    std::uint32_t work = 0;
    kernel::steady_time arrived{};
    /// When its first output is due.
    kernel::steady_time target_at{};
    kernel::steady_time expires{};
    /// Time from its start at an endpoint to its first output.
    std::chrono::milliseconds service_time{0};
    /// Longest expected wait at an endpoint that its target latency allows.
    std::chrono::milliseconds own_max_wait{0};
    /// Longest expected wait at an endpoint to which it is sent now, from
    /// `waiting_room::max_wait`.
    std::chrono::milliseconds max_wait{0};
};

/// What the best endpoint offers a request now.
struct capacity_offer
{
    /// Expected wait there.
    std::chrono::milliseconds wait{0};
    bool fits_memory = true;
    /// Whether what is free there is left to this process, and not to others
    /// that know the same report.
    bool has_share = true;

    bool suffices(waiting_request const& request) const
    {
        return fits_memory && has_share && wait <= request.max_wait;
    }
    /// This process's share of the rate at which all endpoints process prompts.
    double tokens_per_ms = 1;
};

} // namespace endiveward::room

#endif
