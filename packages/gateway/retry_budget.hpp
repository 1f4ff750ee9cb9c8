#ifndef ENDIVEWARD_GATEWAY_RETRY_BUDGET_HPP
#define ENDIVEWARD_GATEWAY_RETRY_BUDGET_HPP

#include "kernel/i_clock.hpp"

#include <array>
#include <chrono>
#include <cstdint>

namespace endiveward::gateway
{

/// Limits how often requests are sent again, within a sliding window: a share
/// of the requests seen in it plus a fixed number. Each process applies it to
/// its own traffic, so that all together keep the limit without messages.
class retry_budget
{
public:
    static constexpr std::chrono::seconds window{10};

    retry_budget(double ratio, double extra);

    void set_limits(double ratio, double extra);
    void on_request(kernel::steady_time now);
    /// Counts one repetition; false if the window allows none.
    bool try_retry(kernel::steady_time now);
    double remaining(kernel::steady_time now);

private:
    struct bucket
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    void advance(kernel::steady_time now);

    double ratio_;
    double extra_;
    /// One bucket a second; one more than the window, since the oldest second
    /// is only partly inside it.
    std::array<bucket, window.count() + 1> buckets_{};
    std::int64_t second_ = 0;
};

} // namespace endiveward::gateway

#endif
