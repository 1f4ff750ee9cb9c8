#include "room/drain_estimate.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace endiveward::room
{

namespace
{

using ms = std::chrono::duration<double, std::milli>;

/// Half-life of what was measured: bursts last some seconds.
constexpr ms half_life{1000};
/// The expected rate counts like one measured for this time, in which a router
/// sends only a few requests.
constexpr ms expectation_weight{300};
constexpr double min_rate = 0.1;

} // namespace

void drain_estimate::advance(bool waiting, kernel::steady_time now)
{
    if (now <= updated_at_)
        return;
    auto const elapsed = ms(now - updated_at_);
    updated_at_ = now;
    auto const factor = std::exp2(-(elapsed / half_life));
    work_ *= factor;
    waiting_ms_ *= factor;
    if (waiting)
        waiting_ms_ += elapsed.count();
}

double drain_estimate::tokens_per_ms(double expected) const
{
    auto const weight = expectation_weight.count();
    auto const rate = (work_ + expected * weight) / (waiting_ms_ + weight);
    return std::max(rate, min_rate);
}

} // namespace endiveward::room
