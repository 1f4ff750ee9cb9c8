#include "availability/endpoint_pause.hpp"

#include <algorithm>

namespace endiveward::availability
{

namespace
{

using std::chrono::milliseconds;

/// SplitMix64.
std::uint64_t next_random(std::uint64_t& state)
{
    state += 0x9e3779b97f4a7c15U;
    auto z = state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

double next_fraction(std::uint64_t& state)
{
    constexpr unsigned mantissa_bits = 53;
    constexpr unsigned dropped_bits = 64 - mantissa_bits;
    return static_cast<double>(next_random(state) >> dropped_bits) /
           static_cast<double>(std::uint64_t{1} << mantissa_bits);
}

} // namespace

endpoint_pause::endpoint_pause(pause_settings settings, std::uint64_t seed)
    : settings_(settings)
    , random_state_(seed)
{
}

bool endpoint_pause::begin(kernel::steady_time now, milliseconds requested)
{
    auto const is_new = !paused_until(now);
    // Requests that were sent before are refused one after the other. If each
    // refusal drew a new delay, the longest would count, and the processes
    // would return together at the end of the spread.
    if (is_new)
        delay_fraction_ = next_fraction(random_state_);
    returns_at_ = std::max(returns_at_, now + requested + delay_for(requested));
    returned_ = false;
    return is_new;
}

void endpoint_pause::reset()
{
    returns_at_ = {};
    returned_ = true;
}

bool endpoint_pause::allows(kernel::steady_time now,
                            std::uint32_t unanswered) const
{
    if (returned_ || now >= returns_at_ + settings_.return_time)
        return true;
    if (now < returns_at_)
        return false;
    return unanswered < 1 + (now - returns_at_) / settings_.return_step;
}

std::optional<kernel::steady_time>
endpoint_pause::paused_until(kernel::steady_time now) const
{
    if (returned_ || now >= returns_at_)
        return std::nullopt;
    return returns_at_;
}

milliseconds endpoint_pause::delay_for(milliseconds requested) const
{
    auto const spread = std::clamp(requested / settings_.spread_divisor,
                                   settings_.min_spread, settings_.max_spread);
    return std::chrono::ceil<milliseconds>(spread * delay_fraction_);
}

} // namespace endiveward::availability
