#ifndef ENDIVEWARD_ROOM_TYPES_ROOM_SETTINGS_HPP
#define ENDIVEWARD_ROOM_TYPES_ROOM_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace endiveward::room
{

/// Settings for requests that wait at the router.
struct room_settings
{
    /// A router of 160 MB has room for these besides its connections.
    std::size_t max_waiting = 256;
    std::size_t max_bytes = std::size_t{16} << 20U;
    /// Under high load engines start requests up to this much later than
    /// expected. No more than `max_start_error_share` of the target latency
    /// counts, or short targets would leave no time to wait.
    std::chrono::milliseconds start_error{250};
    double max_start_error_share = 0.3;
    /// Requests whose latest useful starts lie within one step are ordered by
    /// priority and fair shares. Estimates of time are no more exact than the
    /// prefill of some chunks.
    std::chrono::milliseconds order_step{100};
    /// Callers accept a `Retry-After` of a third of the time that they have
    /// left. A request that cannot be in time waits no longer than this share
    /// of its time, so that a refused caller can still return.
    double max_hold_share = 1.0 / 3;
    /// After it agents report again on memory that has become free.
    std::chrono::milliseconds report_interval{200};
    std::chrono::milliseconds min_retry_after{100};
    /// How long requests with longer targets leave the engines' queues short
    /// after one with a shorter target has found no capacity. Reports on the
    /// effect arrive several times in this time.
    std::chrono::milliseconds pressure_retention{1000};
    /// No late request is sent so long after one that can be in time has found
    /// no capacity.
    std::chrono::milliseconds late_pause{200};
};

} // namespace endiveward::room

#endif
