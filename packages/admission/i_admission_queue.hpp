#ifndef ENDIVEWARD_ADMISSION_I_ADMISSION_QUEUE_HPP
#define ENDIVEWARD_ADMISSION_I_ADMISSION_QUEUE_HPP

#include "kernel/types/result.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace endiveward::admission
{

struct admission_request;
struct queue_refusal;

/// Admission control of an endpoint: decides which calls run, are queued or are
/// refused. Not thread-safe. The caller chooses the ids, which must be unique
/// among queued and running calls.
class i_admission_queue
{
public:
    virtual ~i_admission_queue() = default;

    /// Sets the number of calls that the engine runs concurrently, at least 1.
    virtual void set_capacity(std::size_t capacity) = 0;
    /// Queues a call, or fails with `overloaded`, `draining` or
    /// `deadline_exceeded`, each with run state `not_run`.
    virtual kernel::result<kernel::done>
    submit(admission_request const& request) = 0;
    /// Removes the next call to run from the queue, if there is capacity. The
    /// call occupies capacity until `finish`.
    virtual std::optional<std::uint64_t> take_next() = 0;
    /// Removes queued calls whose deadline has passed and returns their ids.
    virtual std::vector<std::uint64_t> take_expired() = 0;
    /// Removes queued calls that are no longer expected to start before their
    /// deadline and returns them with the reason and a time to come back.
    virtual std::vector<queue_refusal> take_hopeless() = 0;
    /// Removes a queued call; returns false if it is not queued.
    virtual bool withdraw(std::uint64_t id) = 0;
    /// Frees the capacity of a running call that has ended. `service_time` is
    /// included in the estimate of queue waits.
    virtual void finish(std::uint64_t id,
                        std::chrono::milliseconds service_time) = 0;

    /// Refuses all further calls; queued and running calls are not affected.
    virtual void drain() = 0;
    virtual bool draining() const = 0;

    virtual std::size_t running() const = 0;
    virtual std::size_t queued() const = 0;
    virtual std::size_t capacity() const = 0;
    /// Expected wait of a call with the lowest priority submitted now.
    virtual std::chrono::milliseconds estimated_wait() const = 0;
};

} // namespace endiveward::admission

#endif
