#ifndef ENDIVEWARD_BENCH_POLICY_I_CLUSTER_VIEW_HPP
#define ENDIVEWARD_BENCH_POLICY_I_CLUSTER_VIEW_HPP

#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <cstdint>

namespace endiveward::bench
{

/// Instant knowledge of every worker, for the oracle only.
class i_cluster_view
{
public:
    virtual ~i_cluster_view() = default;

    virtual bool alive(kernel::endpoint_id const& id) const = 0;
    virtual std::chrono::milliseconds
    wait(kernel::endpoint_id const& id) const = 0;
    /// Bytes of the request that is being placed that are cached or will be
    /// computed by calls already there.
    virtual std::uint64_t hit_bytes(kernel::endpoint_id const& id) const = 0;
    /// Running and queued calls per slot.
    virtual double occupancy(kernel::endpoint_id const& id) const = 0;
};

} // namespace endiveward::bench

#endif
