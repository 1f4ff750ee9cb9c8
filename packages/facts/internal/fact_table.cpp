#include "facts/fact_table.hpp"

#include <xxhash.h>

#include <array>
#include <iterator>

namespace endiveward::facts
{

namespace
{

using std::chrono::milliseconds;

/// Two seconds more than the window over which quotas are counted.
constexpr milliseconds use_lifetime{10000};
constexpr milliseconds default_lifetime{10000};

} // namespace

fact_table::fact_table(std::size_t capacity)
    : capacity_(capacity)
{
}

milliseconds fact_table::lifetime_of(wire::fact_kind kind)
{
    return kind == wire::fact_kind::workspace_use ? use_lifetime
                                                  : default_lifetime;
}

std::vector<wire::fact> fact_table::merge(std::vector<wire::fact> const& facts,
                                          kernel::steady_time now)
{
    forget_expired(now);
    std::vector<wire::fact> res;
    for (auto const& it : facts)
    {
        if (it.age < lifetime_of(it.kind) && merge_one(it, now))
            res.push_back(it);
    }
    return res;
}

bool fact_table::merge_one(wire::fact const& it, kernel::steady_time now)
{
    auto const id = id_of(it);
    if (auto const found = by_id_.find(id); found != by_id_.end())
    {
        // The same fact arrives through several agents, at times late.
        if (it.revision <= found->second->fact.revision)
            return false;
        *found->second = {it, now - it.age};
        entries_.splice(entries_.end(), entries_, found->second);
        return true;
    }
    while (!entries_.empty() && entries_.size() >= capacity_)
    {
        by_id_.erase(id_of(entries_.front().fact));
        entries_.pop_front();
    }
    entries_.push_back({it, now - it.age});
    by_id_[id] = std::prev(entries_.end());
    return true;
}

std::vector<wire::fact> fact_table::snapshot(kernel::steady_time now) const
{
    std::vector<wire::fact> res;
    for (auto const& [fact, stated_at] : entries_)
    {
        auto const age =
            std::chrono::duration_cast<milliseconds>(now - stated_at);
        if (age >= lifetime_of(fact.kind))
            continue;
        res.push_back(fact);
        res.back().age = age;
    }
    return res;
}

/// Facts that were passed on late may expire before older entries; they are
/// forgotten when they reach the front.
void fact_table::forget_expired(kernel::steady_time now)
{
    while (!entries_.empty() && now - entries_.front().stated_at >=
                                    lifetime_of(entries_.front().fact.kind))
    {
        by_id_.erase(id_of(entries_.front().fact));
        entries_.pop_front();
    }
}

fact_table::fact_id fact_table::id_of(wire::fact const& it)
{
    return {it.kind, it.key, it.source};
}

std::size_t fact_table::id_hash::operator()(fact_id const& id) const
{
    std::array const words{static_cast<std::uint64_t>(id.kind), id.key,
                           id.source};
    return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace endiveward::facts
