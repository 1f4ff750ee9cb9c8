#include "gateway/prompt_demand.hpp"

#include <chrono>
#include <cmath>

namespace endiveward::gateway
{

namespace
{

/// A router of the documented deployments sends one long prompt in three
/// seconds; a shorter half-life would leave the share of long prompts to
/// chance.
constexpr std::chrono::seconds half_life{10};

} // namespace

double prompt_demand::weight(kernel::steady_time now) const
{
    using seconds = std::chrono::duration<double>;
    return now <= at_ ? 1 : std::exp2(-(seconds(now - at_) / half_life));
}

void prompt_demand::on_sent(std::uint32_t uncached_tokens, bool is_long,
                            kernel::steady_time now)
{
    auto const factor = weight(now);
    long_tokens_ = long_tokens_ * factor + (is_long ? uncached_tokens : 0);
    tokens_ = tokens_ * factor + uncached_tokens;
    at_ = now;
}

double prompt_demand::long_tokens(kernel::steady_time now) const
{
    return long_tokens_ * weight(now);
}

double prompt_demand::tokens(kernel::steady_time now) const
{
    return tokens_ * weight(now);
}

} // namespace endiveward::gateway
