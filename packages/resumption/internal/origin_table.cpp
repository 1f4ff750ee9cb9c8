#include "resumption/origin_table.hpp"

#include <algorithm>
#include <chrono>

namespace endiveward::resumption
{

origin_table::origin_table(std::size_t capacity)
    : capacity_(capacity)
{
}

void origin_table::add(wire::stream_origin const& origin,
                       kernel::steady_time now)
{
    if (auto const known = by_stream_.find(origin.stream);
        known != by_stream_.end())
    {
        entries_.erase(known->second);
        by_stream_.erase(known);
    }
    // Lifetimes hardly differ, so that the expired entries are the oldest.
    while (!entries_.empty() &&
           (entries_.front().expires <= now || entries_.size() >= capacity_))
        pop_front();
    entries_.push_back({origin, now + origin.lifetime});
    by_stream_[origin.stream] = std::prev(entries_.end());
}

std::optional<wire::stream_origin>
origin_table::find(std::uint64_t stream, kernel::steady_time now) const
{
    auto const found = by_stream_.find(stream);
    if (found == by_stream_.end() || found->second->expires <= now)
        return std::nullopt;
    return remaining(*found->second, now);
}

std::vector<kernel::software_version>
origin_table::versions_of(kernel::service_id const& service,
                          kernel::steady_time now) const
{
    std::vector<kernel::software_version> res;
    for (auto const& [origin, expires] : entries_)
    {
        if (expires > now && origin.service == service &&
            std::find(res.begin(), res.end(), origin.software) == res.end())
            res.push_back(origin.software);
    }
    return res;
}

void origin_table::for_each(
    kernel::steady_time now,
    std::function<void(wire::stream_origin const&)> const& visit) const
{
    for (auto const& it : entries_)
    {
        if (it.expires > now)
            visit(remaining(it, now));
    }
}

wire::stream_origin origin_table::remaining(entry const& it,
                                            kernel::steady_time now)
{
    auto res = it.origin;
    res.lifetime =
        std::chrono::ceil<std::chrono::milliseconds>(it.expires - now);
    return res;
}

void origin_table::pop_front()
{
    by_stream_.erase(entries_.front().origin.stream);
    entries_.pop_front();
}

} // namespace endiveward::resumption
