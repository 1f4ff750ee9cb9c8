#include "follower/restored_entries.hpp"

#include "follower/internal/reregistration_grace.hpp"

#include <algorithm>

namespace endiveward::follower
{

namespace
{

/// How long a row of the copy cannot bring back an endpoint that is known as
/// draining or removed. One that has ended does not register again, and its row
/// stays in the restored table until the platform finds it silent, which takes
/// three of its reporting intervals.
constexpr std::chrono::milliseconds outdated_row_hold{10000};
/// How long removed endpoints are remembered: longer than the age of the copy
/// and the time for which the store is away before it is restored.
constexpr std::chrono::milliseconds removed_retention{60000};

} // namespace

restored_entries::restored_entries(kernel::i_clock const& clock)
    : clock_(clock)
{
}

void restored_entries::on_removed(std::string const& key,
                                  gateway::endpoint_entry const* last)
{
    held_.erase(key);
    forget_removed();
    if (last != nullptr)
        removed_[key] = {last->incarnation, clock_.now()};
}

void restored_entries::on_changed(std::string const& key)
{
    held_.erase(key);
    removed_.erase(key);
}

void restored_entries::forget_removed()
{
    auto const now = clock_.now();
    std::erase_if(removed_, [now](auto const& it)
                  { return now - it.second.at >= removed_retention; });
}

restored_entries::outcome restored_entries::on_restored(entry_map const& known,
                                                        entry_map const& copy)
{
    forget_removed();
    // A hold of the era before may not have ended yet. What it holds is part of
    // `known` or `removed_`.
    held_.clear();
    auto const now = clock_.now();
    outcome res;
    for (auto const& [key, row] : copy)
    {
        auto const found = known.find(key);
        if (found != known.end())
        {
            // A restart has a greater incarnation. An incarnation that drains
            // never becomes ready again, but one that is ready may drain.
            auto const& entry = found->second;
            auto const outdated = row.incarnation < entry.incarnation ||
                                  (row.incarnation == entry.incarnation &&
                                   entry.draining && !row.draining);
            res.entries[key] = outdated ? entry : row;
            if (!outdated)
                continue;
            held_[key] = {row, now + outdated_row_hold};
            ++res.held_draining;
            continue;
        }
        auto const gone = removed_.find(key);
        if (gone == removed_.end() ||
            row.incarnation > gone->second.incarnation)
        {
            res.entries[key] = row;
            continue;
        }
        held_[key] = {row, now + outdated_row_hold};
        ++res.held_removed;
    }
    for (auto const& [key, entry] : known)
    {
        if (copy.contains(key))
            continue;
        // One that drains does not register again.
        if (entry.draining)
        {
            removed_[key] = {entry.incarnation, now};
            continue;
        }
        res.entries[key] = entry;
        held_[key] = {std::nullopt, now + reregistration_grace};
        ++res.held_missing;
    }
    return res;
}

std::size_t restored_entries::release(entry_map& entries)
{
    auto const now = clock_.now();
    std::size_t res = 0;
    for (auto it = held_.begin(); it != held_.end();)
    {
        if (it->second.until > now)
        {
            ++it;
            continue;
        }
        if (it->second.in_table)
        {
            entries[it->first] = *it->second.in_table;
            removed_.erase(it->first);
        }
        else if (auto const found = entries.find(it->first);
                 found != entries.end())
        {
            removed_[it->first] = {found->second.incarnation, now};
            entries.erase(found);
        }
        it = held_.erase(it);
        ++res;
    }
    return res;
}

std::optional<kernel::steady_time> restored_entries::next_release() const
{
    std::optional<kernel::steady_time> res;
    for (auto const& [key, it] : held_)
        res = res ? std::min(*res, it.until) : it.until;
    return res;
}

} // namespace endiveward::follower
