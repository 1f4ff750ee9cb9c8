#ifndef ENDIVEWARD_ENGINELINK_REPORT_SCHEDULER_HPP
#define ENDIVEWARD_ENGINELINK_REPORT_SCHEDULER_HPP

#include "enginelink/types/report_batch.hpp"
#include "enginelink/types/report_options.hpp"
#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace endiveward::enginelink
{

/// Collects changes of an engine's state and cache and decides when they are
/// reported to the routers.
class report_scheduler
{
public:
    explicit report_scheduler(report_options options);

    void set_routers(std::size_t n) { routers_ = n; }
    void on_state(wire::engine_state const& state);
    void on_cache(bool reset, std::vector<wire::cached_part> const& parts);

    /// Time of the next report; none if nothing has changed. A change of the
    /// weights, of reloading, leaving or reachability is due immediately.
    std::optional<kernel::steady_time> due_at() const;
    /// Returns the changes since the last report.
    report_batch take(kernel::steady_time now);

    /// The state after all changes, reported or not.
    wire::engine_state const& state() const { return state_; }
    /// The whole cache after all changes, reported or not.
    wire::cache_change cache() const;

private:
    bool state_changed() const { return !(state_ == reported_state_); }
    bool cache_changed() const
    {
        return cache_reset_ || !changed_parts_.empty();
    }
    bool urgent() const;
    std::chrono::milliseconds load_interval() const;
    std::chrono::milliseconds cache_interval() const;
    std::chrono::milliseconds paced(std::chrono::milliseconds per_router) const;

    report_options options_;
    std::size_t routers_ = 0;
    wire::engine_state state_;
    wire::engine_state reported_state_;
    std::unordered_map<std::uint64_t, std::uint32_t> parts_;
    /// Parts that changed since the last report.
    std::unordered_map<std::uint64_t, std::uint32_t> changed_parts_;
    bool cache_reset_ = false;
    kernel::steady_time reported_at_{};
    kernel::steady_time load_reported_at_{};
};

} // namespace endiveward::enginelink

#endif
