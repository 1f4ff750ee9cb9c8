#include "gateway/retry_budget.hpp"

#include <algorithm>

namespace endiveward::gateway
{

retry_budget::retry_budget(double ratio, double extra,
                           kernel::steady_time extra_from)
    : ratio_(ratio)
    , extra_(extra)
    , extra_from_(extra_from)
{
}

void retry_budget::set_limits(double ratio, double extra)
{
    ratio_ = ratio;
    extra_ = extra;
}

void retry_budget::advance(kernel::steady_time now)
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

void retry_budget::on_request(kernel::steady_time now)
{
    advance(now);
    ++buckets_[static_cast<std::size_t>(second_) % buckets_.size()].requests;
}

retry_budget::window_use retry_budget::use(kernel::steady_time now)
{
    advance(now);
    window_use res;
    for (auto const& it : buckets_)
    {
        res.requests += it.requests;
        res.retries += it.retries;
    }
    res.fixed = now < extra_from_ ? 0 : extra_;
    return res;
}

double retry_budget::remaining(kernel::steady_time now)
{
    auto const it = use(now);
    return ratio_ * it.requests + it.fixed - it.retries;
}

bool retry_budget::try_retry(kernel::steady_time now)
{
    if (remaining(now) < 1)
        return false;
    ++buckets_[static_cast<std::size_t>(second_) % buckets_.size()].retries;
    return true;
}

} // namespace endiveward::gateway
