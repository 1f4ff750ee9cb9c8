#include "room/recent_count.hpp"

#include <chrono>
#include <cmath>

namespace endiveward::room
{

namespace
{

using ms = std::chrono::duration<double, std::milli>;

/// Half-life of the counts: bursts of the documented deployments last 3 to
/// 6.5 s.
constexpr ms half_life{2000};

double factor_between(kernel::steady_time from, kernel::steady_time to)
{
    return to <= from ? 1 : std::exp2(-(ms(to - from) / half_life));
}

} // namespace

void recent_count::on_served(kernel::steady_time now)
{
    decay(now);
    ++served_;
}

void recent_count::on_refused(kernel::steady_time now)
{
    decay(now);
    ++refused_;
}

double recent_count::total(kernel::steady_time now) const
{
    return (served_ + refused_) * factor_between(updated_at_, now);
}

double recent_count::served_share() const
{
    auto const all = served_ + refused_;
    return all > 0 ? served_ / all : 1;
}

void recent_count::decay(kernel::steady_time now)
{
    auto const factor = factor_between(updated_at_, now);
    served_ *= factor;
    refused_ *= factor;
    updated_at_ = now;
}

} // namespace endiveward::room
