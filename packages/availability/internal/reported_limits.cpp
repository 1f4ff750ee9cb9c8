#include "availability/reported_limits.hpp"

#include <chrono>
#include <cstddef>

namespace endiveward::availability
{

namespace
{

/// The end of a limit is not reported if its endpoint exits.
constexpr std::chrono::minutes retention{10};
constexpr std::size_t max_limits = 4096;

} // namespace

void reported_limits::on_report(wire::limit_report const& report,
                                kernel::steady_time now)
{
    for (auto const& it : report.changes)
    {
        if (it.ended)
        {
            limits_.erase(it.endpoint);
            continue;
        }
        if (limits_.size() >= max_limits)
            forget_expired(now);
        if (limits_.size() < max_limits || limits_.contains(it.endpoint))
            limits_[it.endpoint] = {it.rate, now};
    }
}

wire::limit_report reported_limits::snapshot(kernel::steady_time now) const
{
    wire::limit_report res;
    for (auto const& [endpoint, it] : limits_)
    {
        if (now - it.reported_at < retention)
            res.changes.push_back({endpoint, it.rate, false});
    }
    return res;
}

void reported_limits::forget_expired(kernel::steady_time now)
{
    std::erase_if(limits_, [now](auto const& it)
                  { return now - it.second.reported_at >= retention; });
}

} // namespace endiveward::availability
