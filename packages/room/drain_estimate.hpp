#ifndef ENDIVEWARD_ROOM_DRAIN_ESTIMATE_HPP
#define ENDIVEWARD_ROOM_DRAIN_ESTIMATE_HPP

#include "kernel/i_clock.hpp"

#include <cstdint>

namespace endiveward::room
{

/// Estimates the rate at which waiting requests get capacity, from those that
/// did lately. No I/O.
class drain_estimate
{
public:
    /// Must be called before requests begin or cease to wait.
    void advance(bool waiting, kernel::steady_time now);
    /// A waiting request has been sent.
    void on_started(std::uint32_t work) { work_ += work; }
    /// `expected` counts as long as little has been measured.
    double tokens_per_ms(double expected) const;

private:
    kernel::steady_time updated_at_{};
    double work_ = 0;
    double waiting_ms_ = 0;
};

} // namespace endiveward::room

#endif
