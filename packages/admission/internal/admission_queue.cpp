#include "admission/admission_queue.hpp"

#include "admission/types/queue_refusal.hpp"

#include <algorithm>
#include <limits>

namespace endiveward::admission
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A new sample has the weight 1 / average_samples in the moving average of
// service times.
constexpr int average_samples = 8;
constexpr milliseconds min_retry_after{100};

kernel::error refusal(kernel::error_kind kind, char const* message,
                      std::optional<milliseconds> retry_after)
{
    return {kind, message, kernel::run_state::not_run, retry_after};
}

} // namespace

admission_queue::admission_queue(kernel::i_clock const& clock,
                                 std::size_t max_queue)
    : clock_(clock)
    , max_queue_(max_queue)
{
}

void admission_queue::set_capacity(std::size_t capacity)
{
    capacity_ = std::max<std::size_t>(capacity, 1);
}

admission_queue::queue_key
admission_queue::queue_key_of(admission_request const& request)
{
    return {request.priority, request.deadline, request.id};
}

milliseconds
admission_queue::expected_service(admission_request const& request) const
{
    return request.expected_service > milliseconds(0) ? request.expected_service
                                                      : average_service_time_;
}

kernel::result<kernel::done>
admission_queue::submit(admission_request const& request)
{
    if (draining_)
        return refusal(kernel::error_kind::draining,
                       "the endpoint is shutting down; send the request again",
                       milliseconds(0));
    auto const slack =
        duration_cast<milliseconds>(request.deadline - clock_.now());
    if (slack <= milliseconds(0))
        return refusal(kernel::error_kind::deadline_exceeded,
                       "the deadline passed before the request was queued; "
                       "allow more time",
                       std::nullopt);
    auto const wait = wait_before(queue_key_of(request));
    if (queue_.size() >= max_queue_ || wait > slack)
        return overloaded(wait, slack);

    queue_.emplace(queue_key_of(request), request);
    queue_keys_.emplace(request.id, queue_key_of(request));
    return kernel::done{};
}

kernel::error admission_queue::overloaded(milliseconds wait,
                                          milliseconds slack) const
{
    // After this time the queue is expected to be short enough for the same
    // deadline.
    auto const retry_after = std::max(wait - slack, min_retry_after);
    return refusal(kernel::error_kind::overloaded,
                   "the endpoint is busy; send the request again after the "
                   "time in Retry-After or allow more time",
                   retry_after);
}

std::optional<std::uint64_t> admission_queue::take_next()
{
    if (running_.size() >= capacity_)
        return std::nullopt;
    auto const now = clock_.now();
    // Skips expired calls, which remain queued until take_expired.
    auto const it = std::find_if(queue_.begin(), queue_.end(),
                                 [now](auto const& entry)
                                 { return entry.second.deadline > now; });
    if (it == queue_.end())
        return std::nullopt;
    auto const id = it->second.id;
    running_.emplace(id, running_call{now, expected_service(it->second)});
    remove_queued(it);
    return id;
}

std::vector<std::uint64_t> admission_queue::take_expired()
{
    auto const now = clock_.now();
    std::vector<std::uint64_t> expired;
    for (auto it = queue_.begin(); it != queue_.end();)
    {
        auto const next = std::next(it);
        if (it->second.deadline <= now)
        {
            expired.push_back(it->second.id);
            remove_queued(it);
        }
        it = next;
    }
    return expired;
}

// Load pattern: calls of higher priority arrive after a call has been queued,
// or running calls take longer than expected. The limit is that of `submit`, so
// that a call is not refused for an estimate with which it would be queued.
std::vector<queue_refusal> admission_queue::take_hopeless()
{
    auto const now = clock_.now();
    auto work = remaining_work();
    std::size_t ahead = running_.size();
    std::vector<queue_refusal> res;
    for (auto it = queue_.begin(); it != queue_.end();)
    {
        auto const next = std::next(it);
        auto const wait =
            ahead < capacity_
                ? milliseconds(0)
                : work / static_cast<milliseconds::rep>(capacity_);
        auto const slack =
            duration_cast<milliseconds>(it->second.deadline - now);
        if (slack > milliseconds(0) && wait > slack)
        {
            res.push_back({it->second.id, overloaded(wait, slack)});
            remove_queued(it);
        }
        else
        {
            work += expected_service(it->second);
            ++ahead;
        }
        it = next;
    }
    return res;
}

bool admission_queue::withdraw(std::uint64_t id)
{
    auto const it = queue_keys_.find(id);
    if (it == queue_keys_.end())
        return false;
    remove_queued(queue_.find(it->second));
    return true;
}

void admission_queue::remove_queued(
    std::map<queue_key, admission_request>::iterator it)
{
    queue_keys_.erase(it->second.id);
    queue_.erase(it);
}

void admission_queue::finish(std::uint64_t id, milliseconds service_time)
{
    if (running_.erase(id) == 0)
        return;
    average_service_time_ =
        average_service_time_ == milliseconds(0)
            ? service_time
            : average_service_time_ +
                  (service_time - average_service_time_) / average_samples;
}

milliseconds admission_queue::estimated_wait() const
{
    return wait_before({std::numeric_limits<std::uint8_t>::max(),
                        kernel::steady_time::max(),
                        std::numeric_limits<std::uint64_t>::max()});
}

milliseconds admission_queue::wait_before(queue_key const& key) const
{
    auto const end = queue_.lower_bound(key);
    auto const ahead =
        static_cast<std::size_t>(std::distance(queue_.begin(), end));
    if (running_.size() + ahead < capacity_)
        return milliseconds(0);
    auto work = remaining_work();
    for (auto it = queue_.begin(); it != end; ++it)
        work += expected_service(it->second);
    return work / static_cast<milliseconds::rep>(capacity_);
}

/// Expected remaining service time of the running calls.
milliseconds admission_queue::remaining_work() const
{
    milliseconds res{0};
    auto const now = clock_.now();
    for (auto const& [id, call] : running_)
    {
        auto const elapsed = duration_cast<milliseconds>(now - call.started);
        res += std::max(call.expected - elapsed, milliseconds(0));
    }
    return res;
}

} // namespace endiveward::admission
