#include "gateway/repeat_budget.hpp"

#include <algorithm>

namespace endiveward::gateway
{

repeat_budget::repeat_budget(double ratio, double extra)
    : ratio_(ratio)
    , extra_(extra)
{
}

void repeat_budget::set_limits(double ratio, double extra)
{
    ratio_ = ratio;
    extra_ = extra;
}

void repeat_budget::advance(kernel::steady_time now)
{
    auto const second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
            .count();
    auto const count = static_cast<std::int64_t>(buckets_.size());
    auto const steps = std::min(second - second_, count);
    for (std::int64_t n = 1; n <= steps; ++n)
        buckets_[static_cast<std::size_t>((second - steps + n) % count)] = {};
    second_ = std::max(second_, second);
}

void repeat_budget::on_request(kernel::steady_time now)
{
    advance(now);
    ++buckets_[static_cast<std::size_t>(second_) % buckets_.size()].requests;
}

double repeat_budget::remaining(kernel::steady_time now)
{
    advance(now);
    double requests = 0;
    double repeats = 0;
    for (auto const& it : buckets_)
    {
        requests += it.requests;
        repeats += it.repeats;
    }
    return ratio_ * requests + extra_ - repeats;
}

bool repeat_budget::try_repeat(kernel::steady_time now)
{
    if (remaining(now) < 1)
        return false;
    ++buckets_[static_cast<std::size_t>(second_) % buckets_.size()].repeats;
    return true;
}

} // namespace endiveward::gateway
