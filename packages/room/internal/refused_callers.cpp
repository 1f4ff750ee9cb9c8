#include "room/refused_callers.hpp"

#include <chrono>

namespace endiveward::room
{

namespace
{

/// Callers honor `Retry-After` up to a third of the time that they have left,
/// with deadlines of 15 s.
constexpr std::chrono::seconds retention{5};
constexpr std::size_t max_refusals = 4096;

} // namespace

void refused_callers::on_refused(std::uint64_t caller,
                                 kernel::steady_time first_arrival,
                                 kernel::steady_time now)
{
    forget_expired(now);
    if (refusals_.size() >= max_refusals)
        forget_oldest();
    by_caller_[caller] = {first_arrival, now};
    refusals_.emplace_back(now, caller);
}

kernel::steady_time refused_callers::take(std::uint64_t caller,
                                          kernel::steady_time now)
{
    forget_expired(now);
    auto const found = by_caller_.find(caller);
    if (found == by_caller_.end())
        return now;
    auto const res = found->second.first_arrival;
    by_caller_.erase(found);
    return res;
}

void refused_callers::forget_expired(kernel::steady_time now)
{
    while (!refusals_.empty() && now - refusals_.front().first >= retention)
        forget_oldest();
}

void refused_callers::forget_oldest()
{
    auto const [at, caller] = refusals_.front();
    refusals_.pop_front();
    auto const found = by_caller_.find(caller);
    // The caller may have been refused again since.
    if (found != by_caller_.end() && found->second.at == at)
        by_caller_.erase(found);
}

} // namespace endiveward::room
