#include "placement/retry_budget.hpp"

#include <algorithm>

namespace endiveward::placement
{

retry_budget::retry_budget(double ratio, double burst)
    : ratio_(ratio)
    , burst_(burst)
    , tokens_(burst)
{
}

void retry_budget::on_request()
{
    std::lock_guard const lock(mutex_);
    tokens_ = std::min(burst_, tokens_ + ratio_);
}

bool retry_budget::try_retry()
{
    std::lock_guard const lock(mutex_);
    if (tokens_ < 1.0)
        return false;
    tokens_ -= 1.0;
    return true;
}

double retry_budget::tokens() const
{
    std::lock_guard const lock(mutex_);
    return tokens_;
}

} // namespace endiveward::placement
