#include "enginelink/report_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace endiveward::enginelink
{

namespace
{

bool equal_except_load(wire::engine_state a, wire::engine_state const& b)
{
    a.running = b.running;
    a.waiting = b.waiting;
    a.unanswered = b.unanswered;
    a.routers = b.routers;
    a.memory_used = b.memory_used;
    a.progress = b.progress;
    return a == b;
}

} // namespace

report_scheduler::report_scheduler(report_options options)
    : options_(options)
{
}

void report_scheduler::on_state(wire::engine_state const& state)
{
    state_ = state;
}

void report_scheduler::on_cache(bool reset,
                                std::vector<wire::cached_part> const& parts)
{
    if (reset)
    {
        cache_reset_ = true;
        parts_.clear();
        changed_parts_.clear();
    }
    for (auto const& it : parts)
    {
        changed_parts_[it.key] = it.tokens;
        if (it.tokens == 0)
            parts_.erase(it.key);
        else
            parts_[it.key] = it.tokens;
    }
}

bool report_scheduler::urgent() const
{
    return !equal_except_load(state_, reported_state_);
}

std::optional<kernel::steady_time> report_scheduler::due_at() const
{
    if (urgent())
        return kernel::steady_time{};
    std::optional<kernel::steady_time> res;
    if (state_changed())
        res = load_reported_at_ + load_interval();
    if (cache_changed())
    {
        auto const cache_at = reported_at_ + cache_interval();
        res = res ? std::min(*res, cache_at) : cache_at;
    }
    return res;
}

report_batch report_scheduler::take(kernel::steady_time now)
{
    report_batch res;
    auto const load_due = now >= load_reported_at_ + load_interval();
    if (urgent() || (state_changed() && load_due))
    {
        res.state = state_;
        // Weights seldom change, and reports are sent to all routers.
        if (state_.weights == reported_state_.weights)
            res.state->weights.clear();
        reported_state_ = state_;
        load_reported_at_ = now;
    }
    if (cache_changed())
    {
        res.cache.emplace();
        res.cache->reset = std::exchange(cache_reset_, false);
        res.cache->parts.reserve(changed_parts_.size());
        for (auto const& [key, tokens] : changed_parts_)
            res.cache->parts.push_back({key, tokens});
        changed_parts_.clear();
    }
    reported_at_ = now;
    return res;
}

wire::cache_change report_scheduler::cache() const
{
    wire::cache_change res;
    res.reset = true;
    res.parts.reserve(parts_.size());
    for (auto const& [key, tokens] : parts_)
        res.parts.push_back({key, tokens});
    return res;
}

std::chrono::milliseconds report_scheduler::load_interval() const
{
    return std::max(options_.min_load_interval,
                    paced(options_.load_interval_per_router));
}

std::chrono::milliseconds report_scheduler::cache_interval() const
{
    return std::max(options_.min_cache_interval,
                    paced(options_.cache_interval_per_router));
}

std::chrono::milliseconds
report_scheduler::paced(std::chrono::milliseconds per_router) const
{
    return std::min(per_router * static_cast<std::int64_t>(routers_),
                    options_.max_interval);
}

} // namespace endiveward::enginelink
