#ifndef ENDIVEWARD_STAND_INS_STREAM_HPP
#define ENDIVEWARD_STAND_INS_STREAM_HPP

#include "kernel/i_clock.hpp"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::stand_ins
{

/// The events of one answer, written by the batch and read by connections. An
/// event is an SSE `data` value; its number is its place. Safe for concurrent
/// use.
class stream
{
public:
    /// False if the stream is cancelled.
    bool add(std::string event);
    void finish();
    void cancel();
    bool cancelled() const;
    bool finished() const;

    /// Waits for event n; none after the last event or when cancelled.
    std::optional<std::string> wait_for_event(std::size_t n);
    /// Waits until the stream is finished or cancelled; true if finished.
    bool wait_for_end();

    void attach_reader();
    void detach_reader(kernel::steady_time now);
    /// Whether nobody has read the stream for this time.
    bool abandoned(kernel::steady_time now,
                   std::chrono::milliseconds limit) const;

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> events_;
    bool finished_ = false;
    bool cancelled_ = false;
    std::size_t readers_ = 0;
    kernel::steady_time unread_since_;
};

} // namespace endiveward::stand_ins

#endif
