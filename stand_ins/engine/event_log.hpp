#ifndef ENDIVEWARD_STAND_INS_EVENT_LOG_HPP
#define ENDIVEWARD_STAND_INS_EVENT_LOG_HPP

#include "engine/block_cache.hpp"

#include "kernel/i_clock.hpp"
#include "kernel/seeded_random_source.hpp"

#include <chrono>
#include <cstdint>
#include <deque>

namespace endiveward::stand_ins
{

struct cache_event_record
{
    std::uint64_t number = 0;
    bool stored = false;
    kernel::hash128 block;
    kernel::steady_time visible_at;
};

/// Cache events as the engine publishes them: late, and with gaps in their
/// numbers where an event was lost.
class event_log
{
public:
    event_log(std::chrono::milliseconds lag, double loss, std::uint64_t seed);

    void add(block_cache::changes const& changes, kernel::steady_time now);
    /// The next events are lost.
    void lose_next(std::uint64_t n) { losing_ += n; }
    /// Visible events with a greater number.
    std::vector<cache_event_record> after(std::uint64_t number,
                                          kernel::steady_time now) const;
    /// Number of the last event, lost or not.
    std::uint64_t last() const { return last_; }
    std::uint64_t lost() const { return lost_; }

private:
    void add_one(bool stored, kernel::hash128 const& block,
                 kernel::steady_time now);
    bool is_lost();

    std::chrono::milliseconds lag_;
    double loss_;
    kernel::seeded_random_source random_;
    std::deque<cache_event_record> events_;
    std::uint64_t last_ = 0;
    std::uint64_t losing_ = 0;
    std::uint64_t lost_ = 0;
};

} // namespace endiveward::stand_ins

#endif
