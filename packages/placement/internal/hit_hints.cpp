#include "placement/internal/hit_hints.hpp"

#include <algorithm>

namespace endiveward::placement
{

namespace
{

using namespace std::chrono_literals;

// Engines evict blocks within seconds. The initial estimate is longer than that
// and is adjusted by the first verdicts.
constexpr hit_hints::duration initial_retention = 30s;
constexpr hit_hints::duration min_retention = 250ms;
constexpr hit_hints::duration max_retention = 600s;

} // namespace

hit_hints::hit_hints(std::size_t limit)
    : limit_(limit)
    , retention_(initial_retention)
{
}

std::uint64_t
hit_hints::expected_bytes(std::span<wire::prefix_level const> levels,
                          kernel::steady_time now) const
{
    for (auto it = levels.rbegin(); it != levels.rend(); ++it)
    {
        auto const found = index_.find(it->hash);
        if (found != index_.end() &&
            now - found->second->last_used <= retention_)
            return it->bytes;
    }
    return 0;
}

void hit_hints::record(std::span<wire::prefix_level const> levels,
                       std::uint64_t hit_bytes, bool will_run,
                       kernel::steady_time now)
{
    for (auto const& it : levels)
    {
        bool const hit = it.bytes <= hit_bytes;
        adjust_retention(it.hash, hit, now);
        if (hit || will_run)
            touch(it.hash, hit, now);
        else
            remove(it.hash);
    }
}

void hit_hints::add(std::span<wire::prefix_level const> levels,
                    kernel::steady_time now)
{
    for (auto it = levels.rbegin(); it != levels.rend(); ++it)
        touch(it->hash, false, now);
}

void hit_hints::mark_computed(std::span<wire::prefix_level const> levels)
{
    for (auto const& it : levels)
    {
        auto const found = index_.find(it.hash);
        if (found != index_.end())
            found->second->computed = true;
    }
}

// Adjusts the estimate of how long the engine retains a level after its last
// use. A miss shows that entries of the level's age are evicted; a hit shows
// that they are retained. A miss on a level that is still being computed shows
// neither.
void hit_hints::adjust_retention(kernel::hash128 const& level, bool hit,
                                 kernel::steady_time now)
{
    auto const found = index_.find(level);
    if (found == index_.end())
        return;
    auto const age = now - found->second->last_used;
    if (hit && age > retention_ / 2)
        retention_ = std::max(age, retention_ + retention_ / 16);
    // The estimate moves towards 3/4 of the age of the miss rather than the age
    // itself, so that repeated misses bring it below that age.
    if (!hit && found->second->computed && age < retention_)
        retention_ -= (retention_ - age * 3 / 4) / 4;
    retention_ = std::clamp(retention_, min_retention, max_retention);
}

void hit_hints::touch(kernel::hash128 const& level, bool computed,
                      kernel::steady_time now)
{
    auto const found = index_.find(level);
    if (found != index_.end())
    {
        found->second->computed = computed;
        found->second->last_used = now;
        entries_.splice(entries_.begin(), entries_, found->second);
        return;
    }
    if (limit_ == 0)
        return;
    if (entries_.size() >= limit_)
        remove(entry{entries_.back()}.level);
    entries_.push_front({level, now, computed});
    index_.emplace(level, entries_.begin());
}

void hit_hints::remove(kernel::hash128 const& level)
{
    auto const found = index_.find(level);
    if (found == index_.end())
        return;
    entries_.erase(found->second);
    index_.erase(found);
}

} // namespace endiveward::placement
