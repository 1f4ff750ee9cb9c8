#include "engine/stream.hpp"

namespace endiveward::stand_ins
{

bool stream::add(std::string event)
{
    std::lock_guard const lock(mutex_);
    if (cancelled_)
        return false;
    events_.push_back(std::move(event));
    changed_.notify_all();
    return true;
}

void stream::finish()
{
    std::lock_guard const lock(mutex_);
    finished_ = !cancelled_;
    changed_.notify_all();
}

void stream::cancel()
{
    std::lock_guard const lock(mutex_);
    cancelled_ = !finished_;
    changed_.notify_all();
}

bool stream::cancelled() const
{
    std::lock_guard const lock(mutex_);
    return cancelled_;
}

bool stream::finished() const
{
    std::lock_guard const lock(mutex_);
    return finished_;
}

std::optional<std::string> stream::wait_for_event(std::size_t n)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this, n]
                  { return n < events_.size() || finished_ || cancelled_; });
    if (n < events_.size() && !cancelled_)
        return events_[n];
    return std::nullopt;
}

bool stream::wait_for_end()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return finished_ || cancelled_; });
    return finished_;
}

void stream::attach_reader()
{
    std::lock_guard const lock(mutex_);
    ++readers_;
}

void stream::detach_reader(kernel::steady_time now)
{
    std::lock_guard const lock(mutex_);
    --readers_;
    unread_since_ = now;
}

bool stream::abandoned(kernel::steady_time now,
                       std::chrono::milliseconds limit) const
{
    std::lock_guard const lock(mutex_);
    return readers_ == 0 && now - unread_since_ >= limit;
}

} // namespace endiveward::stand_ins
