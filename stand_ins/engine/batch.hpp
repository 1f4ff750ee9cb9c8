#ifndef ENDIVEWARD_STAND_INS_BATCH_HPP
#define ENDIVEWARD_STAND_INS_BATCH_HPP

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <utility>

namespace endiveward::stand_ins
{

/// Places in the engine's batch. Waiting requests enter by priority (lower
/// first), then in order of arrival. Safe for concurrent use.
class batch
{
public:
    explicit batch(std::size_t capacity);

    using place = std::pair<int, std::uint64_t>;

    place join(int priority);
    /// Whether the request is next and there is room; it then runs.
    bool try_start(place const& which);
    /// Waits for room; false if the request was cancelled before it ran.
    bool wait_and_start(place const& which,
                        std::function<bool()> const& cancelled);
    /// Ends a running request.
    void leave();
    /// Wakes waiting requests to look at their cancellation.
    void wake();

    std::size_t running() const;
    std::size_t waiting() const;
    std::size_t capacity() const { return capacity_; }

private:
    bool is_next(place const& which) const;

    std::size_t capacity_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::set<place> waiting_;
    std::size_t running_ = 0;
    std::uint64_t arrivals_ = 0;
};

} // namespace endiveward::stand_ins

#endif
