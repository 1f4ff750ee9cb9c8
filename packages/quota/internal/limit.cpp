#include "quota/types/limit.hpp"

namespace endiveward::quota
{

namespace
{

constexpr double window_s = std::chrono::duration<double>(window).count();
/// The platform tolerates this share of a window's use, and these tokens.
constexpr double tolerated_share = 0.1;
constexpr double tolerated_tokens = 140000;
/// The part of the tolerance up to which requests are admitted.
constexpr double admitted_part = 0.5;

double tolerated_amount(limit const& it)
{
    return it.in_tokens ? tolerated_tokens : 0;
}

} // namespace

double window_use(limit const& it)
{
    return it.rate_per_s * window_s + it.burst;
}

double tolerance(limit const& it)
{
    return tolerated_share * window_use(it) + tolerated_amount(it);
}

// Use that is reported twice or late, or assumed of routers that are not heard,
// refuses requests below the limit. Half of the tolerance makes up for it; the
// other half is for use that this router does not know of yet.
limit admitted_limit(limit const& it)
{
    constexpr double factor = 1 + admitted_part * tolerated_share;
    auto res = it;
    res.rate_per_s *= factor;
    res.burst = res.burst * factor + admitted_part * tolerated_amount(it);
    return res;
}

double remaining_tolerance(limit const& admitted)
{
    constexpr double factor = 1 + admitted_part * tolerated_share;
    auto const amount = admitted_part * tolerated_amount(admitted);
    auto const configured = (window_use(admitted) - amount) / factor;
    return (1 - admitted_part) *
           (tolerated_share * configured + tolerated_amount(admitted));
}

} // namespace endiveward::quota
