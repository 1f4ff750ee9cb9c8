#ifndef ENDIVEWARD_GATEWAY_ISOLATION_WATCH_HPP
#define ENDIVEWARD_GATEWAY_ISOLATION_WATCH_HPP

#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace endiveward::gateway
{

class routing_table;
struct workspace_entry;

/// Tells when requests that were sent in the shared cache group have to leave
/// their endpoint because a workspace has become isolated since. An endpoint
/// may read such a request in again at any time, from what others have made.
class isolation_watch
{
public:
    /// The cache group in which a request was sent.
    struct cache_use
    {
        /// Whether the request shares KV cache with other workspaces.
        bool is_shared = false;
        /// Null for a request without a key.
        workspace_entry const* workspace = nullptr;
        /// Number of changes known when the request was sent.
        std::uint64_t changes = 0;
        /// Differs between requests; spreads their departures.
        std::uint64_t seed = 0;
    };

    struct departure
    {
        kernel::steady_time at;
        /// Whether the request's own workspace has become isolated.
        bool is_own = false;
    };

    /// `deadline` is the time within which a configuration takes effect.
    isolation_watch(kernel::i_clock const& clock,
                    std::chrono::milliseconds deadline);

    void set_deadline(std::chrono::milliseconds deadline);
    /// Compares a configuration with the one before it, which may be null.
    void on_table(routing_table const* before, routing_table const& after);
    cache_use use_of(routing_table const& table,
                     workspace_entry const* workspace,
                     std::uint64_t seed) const;
    /// Returns no value if the request may stay.
    std::optional<departure> departure_of(cache_use const& use) const;

private:
    /// Workspaces that became isolated with one configuration and still are, or
    /// were removed.
    struct change
    {
        kernel::steady_time at;
        std::vector<kernel::workspace_id> workspaces;
    };

    kernel::i_clock const& clock_;
    std::chrono::milliseconds deadline_;
    /// The latest changes, in order.
    std::deque<change> changes_;
    /// Number of changes so far, including those that were dropped.
    std::uint64_t count_ = 0;
};

} // namespace endiveward::gateway

#endif
