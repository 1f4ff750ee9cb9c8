#include "engine/batch.hpp"

namespace endiveward::stand_ins
{

batch::batch(std::size_t capacity)
    : capacity_(capacity)
{
}

batch::place batch::join(int priority)
{
    std::lock_guard const lock(mutex_);
    return *waiting_.emplace(priority, arrivals_++).first;
}

bool batch::try_start(place const& which)
{
    std::lock_guard const lock(mutex_);
    if (!is_next(which))
        return false;
    waiting_.erase(which);
    ++running_;
    return true;
}

bool batch::wait_and_start(place const& which,
                           std::function<bool()> const& cancelled)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return cancelled() || is_next(which); });
    bool const starts = !cancelled();
    waiting_.erase(which);
    if (starts)
        ++running_;
    changed_.notify_all();
    return starts;
}

void batch::leave()
{
    std::lock_guard const lock(mutex_);
    --running_;
    changed_.notify_all();
}

void batch::wake()
{
    std::lock_guard const lock(mutex_);
    changed_.notify_all();
}

std::size_t batch::running() const
{
    std::lock_guard const lock(mutex_);
    return running_;
}

std::size_t batch::waiting() const
{
    std::lock_guard const lock(mutex_);
    return waiting_.size();
}

bool batch::is_next(place const& which) const
{
    return running_ < capacity_ && !waiting_.empty() &&
           *waiting_.begin() == which;
}

} // namespace endiveward::stand_ins
