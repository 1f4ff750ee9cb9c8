#ifndef ENDIVEWARD_STAND_INS_UNDO_LOG_HPP
#define ENDIVEWARD_STAND_INS_UNDO_LOG_HPP

#include "kernel/i_clock.hpp"

#include <chrono>
#include <deque>
#include <functional>
#include <utility>

namespace endiveward::stand_ins
{

/// Recent writes with the means to undo them. Not safe for concurrent use.
class undo_log
{
public:
    /// Older writes can no longer be undone.
    static constexpr std::chrono::minutes retention{5};

    void record(kernel::steady_time now, std::function<void()> undo)
    {
        while (!entries_.empty() && entries_.front().first + retention < now)
            entries_.pop_front();
        entries_.emplace_back(now, std::move(undo));
    }
    /// Undoes the writes after `to`, the last one first.
    void rewind(kernel::steady_time to)
    {
        while (!entries_.empty() && entries_.back().first > to)
        {
            entries_.back().second();
            entries_.pop_back();
        }
    }

private:
    std::deque<std::pair<kernel::steady_time, std::function<void()>>> entries_;
};

} // namespace endiveward::stand_ins

#endif
