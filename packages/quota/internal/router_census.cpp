#include "quota/router_census.hpp"

#include <algorithm>
#include <utility>

namespace endiveward::quota
{

namespace
{

using kernel::steady_time;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Routers state twice a second that they are in service; one statement may be
/// lost.
constexpr milliseconds heard_time{1500};
constexpr milliseconds known_time{10000};
/// Longest time without any statement of others while links work: the interval
/// of a statement and the time for which it may be held up. Of many routers,
/// some state something every few milliseconds. When engines crash, the agents
/// that pass statements on change, which takes half a second.
constexpr milliseconds statement_delay{300};
constexpr milliseconds max_silence{900};
constexpr std::size_t many_routers = 12;
constexpr milliseconds max_silence_of_many{700};
/// A process that got no CPU time has not listened; so much counts at most
/// between two ticks.
constexpr milliseconds max_tick{150};

} // namespace

void router_census::on_alive(std::uint64_t router, milliseconds age,
                             steady_time now)
{
    auto const [it, added] = last_stated_.try_emplace(router, now - age);
    it->second = std::max(it->second, now - age);
    if (age < heard_time)
        silence_ = milliseconds(0);
}

void router_census::tick(steady_time now)
{
    auto const passed =
        duration_cast<milliseconds>(now - std::exchange(last_tick_, now));
    silence_ += std::min(passed, max_tick);
    std::erase_if(last_stated_, [&](auto const& it)
                  { return now - it.second >= known_time; });
    if (started_ == steady_time())
        started_ = now;
    if (heard(now) > 1)
        last_known_ = stated_within(known_time, now) + 1;
}

// Load pattern: a router is cut off while a workspace has many times its usual
// load. Within the time after which a single router counts as not heard it
// would use the whole limit beside the others. Of many routers together, some
// state something every few milliseconds, so that their common silence tells
// much sooner.
std::size_t router_census::heard(steady_time now) const
{
    auto const others = stated_within(heard_time, now);
    auto const limit =
        others >= many_routers ? max_silence_of_many : max_silence;
    return silence_ > limit ? 1 : others + 1;
}

milliseconds router_census::unnoticed_time() const
{
    return std::clamp(silence_ + statement_delay, max_silence_of_many,
                      heard_time);
}

std::size_t router_census::known(steady_time now) const
{
    auto const stated = stated_within(known_time, now) + 1;
    // Agents count connections, of which a router that was cut off has several
    // for some time. Their number is needed only by a router that starts.
    if (last_known_ == 0 || now - started_ < known_time)
        return std::max(reported_, stated);
    return heard(now) > 1 ? stated : std::max(last_known_, stated);
}

double router_census::share(steady_time now) const
{
    return std::min(1.0, static_cast<double>(heard(now)) /
                             static_cast<double>(known(now)));
}

std::size_t router_census::stated_within(milliseconds time,
                                         steady_time now) const
{
    return static_cast<std::size_t>(
        std::count_if(last_stated_.begin(), last_stated_.end(),
                      [&](auto const& it) { return now - it.second < time; }));
}

} // namespace endiveward::quota
