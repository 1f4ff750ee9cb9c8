#ifndef ENDIVEWARD_QUOTA_TYPES_LIMIT_HPP
#define ENDIVEWARD_QUOTA_TYPES_LIMIT_HPP

#include <chrono>

namespace endiveward::quota
{

/// The time over which the use of a workspace is bounded.
constexpr std::chrono::seconds window{8};

/// What the routers together may send to endpoints for a workspace.
struct limit
{
    double rate_per_s = 0;
    double burst = 0;
    /// Whether requests count by their tokens; otherwise each counts as one.
    bool in_tokens = false;
    /// Tokens of a request that does not name their number.
    double uncached_tokens = 0;

    bool operator==(limit const&) const = default;
};

/// What may run in a window if nothing exceeds the limit.
double window_use(limit const& it);
/// What may run in a window beyond this, since routers learn of each other's
/// use with a delay.
double tolerance(limit const& it);
/// The somewhat higher limit up to which requests are admitted.
limit admitted_limit(limit const& it);
/// What may run in a window beyond an admitted limit.
double remaining_tolerance(limit const& admitted);

} // namespace endiveward::quota

#endif
