#include "quota/use_history.hpp"

#include <algorithm>

namespace endiveward::quota
{

namespace
{

using kernel::steady_time;
using std::chrono::milliseconds;

/// Use within this time is kept as one entry, which bounds their number.
constexpr milliseconds resolution{50};

steady_time rounded(steady_time at)
{
    return at - at.time_since_epoch() % resolution;
}

double seconds(steady_time::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void use_history::add(steady_time at, double amount)
{
    auto const start = rounded(at);
    auto const found = std::lower_bound(entries_.begin(), entries_.end(), start,
                                        [](entry const& it, steady_time time)
                                        { return it.at < time; });
    if (found != entries_.end() && found->at == start)
        found->amount += amount;
    else
        entries_.insert(found, {start, amount});
}

void use_history::add(use_history const& other, double factor)
{
    for (auto const& it : other.entries_)
        add(it.at, it.amount * factor);
}

void use_history::scale(double factor)
{
    for (auto& it : entries_)
        it.amount *= factor;
}

// The bucket is drained by all use since its level was last certain, so that
// use that is reported late counts when it happened.
double use_history::level(limit const& it, steady_time known_since,
                          steady_time now) const
{
    // A workspace without use in the horizon had a full bucket.
    auto at = base_ ? base_->at : now - horizon;
    auto res = base_ ? std::min(base_->level, it.burst) : it.burst;
    if (known_since > at)
    {
        at = known_since;
        res = 0;
    }
    auto const lowest = -it.rate_per_s * seconds(window);
    auto const refill = [&](steady_time until)
    {
        res = std::min(it.burst, res + it.rate_per_s * seconds(until - at));
        at = until;
    };
    for (auto const& use : entries_)
    {
        if (use.at > now)
            break;
        // An entry that lies partly before the start counts fully.
        if (use.at + resolution <= at)
            continue;
        if (use.at > at)
            refill(use.at);
        res = std::max(lowest, res - use.amount);
    }
    if (now > at)
        refill(now);
    return res;
}

double use_history::used_since(steady_time since) const
{
    double res = 0;
    for (auto const& it : entries_)
        res += it.at >= rounded(since) ? it.amount : 0;
    return res;
}

void use_history::restart(double level, steady_time now)
{
    // What was used before is in the level.
    entries_.clear();
    base_ = {now, level};
}

void use_history::forget_expired(limit const& it, steady_time known_since,
                                 steady_time now)
{
    auto const end = rounded(now - horizon);
    if (end > known_since && (!base_ || end > base_->at))
        // Use at the end itself is kept.
        base_ = {end, level(it, known_since, end - steady_time::duration(1))};
    std::erase_if(entries_, [end](auto const& it) { return it.at < end; });
}

} // namespace endiveward::quota
