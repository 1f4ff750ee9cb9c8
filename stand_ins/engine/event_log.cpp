#include "engine/event_log.hpp"

namespace endiveward::stand_ins
{

event_log::event_log(std::chrono::milliseconds lag, double loss,
                     std::uint64_t seed)
    : lag_(lag)
    , loss_(loss)
    , random_(seed)
{
}

void event_log::add(block_cache::changes const& changes,
                    kernel::steady_time now)
{
    for (auto const& block : changes.stored)
        add_one(true, block, now);
    for (auto const& block : changes.evicted)
        add_one(false, block, now);
}

std::vector<cache_event_record> event_log::after(std::uint64_t number,
                                                 kernel::steady_time now) const
{
    std::vector<cache_event_record> found;
    for (auto const& event : events_)
        if (event.number > number && event.visible_at <= now)
            found.push_back(event);
    return found;
}

void event_log::add_one(bool stored, kernel::hash128 const& block,
                        kernel::steady_time now)
{
    constexpr std::size_t kept_events = 65'536;
    ++last_;
    if (is_lost())
    {
        ++lost_;
        return;
    }
    events_.push_back({last_, stored, block, now + lag_});
    if (events_.size() > kept_events)
        events_.pop_front();
}

bool event_log::is_lost()
{
    if (losing_ > 0)
    {
        --losing_;
        return true;
    }
    constexpr double scale = 1.0 / 18446744073709551616.0;
    return static_cast<double>(random_.next()) * scale < loss_;
}

} // namespace endiveward::stand_ins
