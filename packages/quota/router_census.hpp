#ifndef ENDIVEWARD_QUOTA_ROUTER_CENSUS_HPP
#define ENDIVEWARD_QUOTA_ROUTER_CENSUS_HPP

#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace endiveward::quota
{

/// Counts the routers that this one hears, to tell which share of the limits
/// it may use. No I/O.
class router_census
{
public:
    /// Number of routers that agents report.
    void set_reported(std::size_t routers) { reported_ = routers; }
    /// Another router stated this long ago that it is in service.
    void on_alive(std::uint64_t router, std::chrono::milliseconds age,
                  kernel::steady_time now);
    /// To be called regularly, at least ten times a second.
    void tick(kernel::steady_time now);

    std::size_t heard(kernel::steady_time now) const;
    std::size_t known(kernel::steady_time now) const;
    /// Time for which routers may have been silent before they count as not
    /// heard.
    std::chrono::milliseconds unnoticed_time() const;
    /// Routers that are not heard may use the rest.
    double share(kernel::steady_time now) const;

private:
    std::size_t stated_within(std::chrono::milliseconds time,
                              kernel::steady_time now) const;

    std::size_t reported_ = 1;
    /// The number when others were last heard.
    std::size_t last_known_ = 0;
    kernel::steady_time started_{};
    std::unordered_map<std::uint64_t, kernel::steady_time> last_stated_;
    kernel::steady_time last_tick_{};
    /// Time without any statement of others while this process ran.
    std::chrono::milliseconds silence_{0};
};

} // namespace endiveward::quota

#endif
