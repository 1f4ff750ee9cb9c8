#ifndef ENDIVEWARD_ADMISSION_ADMISSION_QUEUE_HPP
#define ENDIVEWARD_ADMISSION_ADMISSION_QUEUE_HPP

#include "admission/i_admission_queue.hpp"
#include "admission/types/admission_request.hpp"

#include <map>
#include <tuple>

namespace endiveward::admission
{

/// Queues calls by priority, then by deadline, and refuses calls that would
/// wait beyond their deadline.
class admission_queue : public i_admission_queue
{
    kernel::i_clock const& clock_;

public:
    admission_queue(kernel::i_clock const& clock, std::size_t max_queue);

    void set_capacity(std::size_t capacity) override;
    kernel::result<kernel::done>
    submit(admission_request const& request) override;
    std::optional<std::uint64_t> take_next() override;
    std::vector<std::uint64_t> take_expired() override;
    std::vector<queue_refusal> take_hopeless() override;
    bool withdraw(std::uint64_t id) override;
    void finish(std::uint64_t id,
                std::chrono::milliseconds service_time) override;

    void drain() override { draining_ = true; }
    bool draining() const override { return draining_; }

    std::size_t running() const override { return running_.size(); }
    std::size_t queued() const override { return queue_.size(); }
    std::size_t capacity() const override { return capacity_; }
    std::chrono::milliseconds estimated_wait() const override;

private:
    using queue_key =
        std::tuple<std::uint8_t, kernel::steady_time, std::uint64_t>;

    struct running_call
    {
        kernel::steady_time started;
        std::chrono::milliseconds expected;
    };

    static queue_key queue_key_of(admission_request const& request);
    std::chrono::milliseconds
    expected_service(admission_request const& request) const;
    std::chrono::milliseconds wait_before(queue_key const& key) const;
    std::chrono::milliseconds remaining_work() const;
    kernel::error overloaded(std::chrono::milliseconds wait,
                             std::chrono::milliseconds slack) const;
    void remove_queued(std::map<queue_key, admission_request>::iterator it);

    std::size_t const max_queue_;
    std::size_t capacity_ = 1;
    bool draining_ = false;
    std::map<queue_key, admission_request> queue_;
    std::map<std::uint64_t, queue_key> queue_keys_;
    std::map<std::uint64_t, running_call> running_;
    /// Moving average of service times, for calls that do not specify their
    /// expected service time.
    std::chrono::milliseconds average_service_time_{0};
};

} // namespace endiveward::admission

#endif
