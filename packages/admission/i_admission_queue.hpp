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

/// Decides which calls an endpoint runs, queues and refuses. Used on one
/// thread. Ids are chosen by the caller and unique among calls not finished.
class i_admission_queue
{
public:
    virtual ~i_admission_queue() = default;

    /// Calls that the engine runs at once.
    virtual void set_capacity(std::size_t capacity) = 0;
    /// Queues a call or refuses it (`overloaded`, `draining`,
    /// `deadline_exceeded`; always `not_run`).
    virtual kernel::result<kernel::done>
    submit(admission_request const& request) = 0;
    /// Takes the next call to run, if there is capacity. The call occupies a
    /// place until `finish`.
    virtual std::optional<std::uint64_t> take_next() = 0;
    /// Removes queued calls whose deadline has passed and gives their ids.
    virtual std::vector<std::uint64_t> take_expired() = 0;
    /// Removes a queued call; false if it is not queued.
    virtual bool withdraw(std::uint64_t id) = 0;
    /// A call that was taken has ended. `service_time` feeds the estimate.
    virtual void finish(std::uint64_t id,
                        std::chrono::milliseconds service_time) = 0;

    /// From now on every call is refused; queued and running calls go on.
    virtual void drain() = 0;
    virtual bool draining() const = 0;

    virtual std::size_t running() const = 0;
    virtual std::size_t queued() const = 0;
    virtual std::size_t capacity() const = 0;
    /// Expected wait of a call of lowest priority that arrives now.
    virtual std::chrono::milliseconds estimated_wait() const = 0;
};

} // namespace endiveward::admission

#endif
