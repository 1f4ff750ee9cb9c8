#ifndef ENDIVEWARD_GATEWAY_RETRY_BUDGET_HPP
#define ENDIVEWARD_GATEWAY_RETRY_BUDGET_HPP

#include "kernel/i_clock.hpp"

#include <array>
#include <chrono>
#include <cstdint>

namespace endiveward::gateway
{

/// Limits the number of retries within a sliding window to a share of the
/// requests in it plus a fixed number. Each process applies its part of the
/// limit to its own traffic, so that the total is kept without coordination.
/// The fixed number may be used from a given time on; the share at once.
class retry_budget
{
public:
    static constexpr std::chrono::seconds window{10};

    retry_budget(double ratio, double extra,
                 kernel::steady_time extra_from = kernel::steady_time::min());

    void set_limits(double ratio, double extra);
    void on_request(kernel::steady_time now);
    /// Counts one retry, or returns false if the budget is used up.
    bool try_retry(kernel::steady_time now);
    double remaining(kernel::steady_time now);

    struct window_use
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
        /// Retries that are allowed in addition to the share of the requests.
        double fixed = 0;
    };

    /// What the window that ends now holds.
    window_use use(kernel::steady_time now);

private:
    struct bucket
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    void advance(kernel::steady_time now);

    double ratio_;
    double extra_;
    kernel::steady_time extra_from_;
    /// One bucket per second, and one more than the window has seconds, since
    /// the window covers the oldest second only in part.
    std::array<bucket, window.count() + 1> buckets_{};
    std::int64_t second_ = 0;
};

} // namespace endiveward::gateway

#endif
