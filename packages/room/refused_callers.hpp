#ifndef ENDIVEWARD_ROOM_REFUSED_CALLERS_HPP
#define ENDIVEWARD_ROOM_REFUSED_CALLERS_HPP

#include "kernel/i_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace endiveward::room
{

/// Remembers for some seconds when callers that were refused first arrived. No
/// I/O.
class refused_callers
{
public:
    void on_refused(std::uint64_t caller, kernel::steady_time first_arrival,
                    kernel::steady_time now);
    /// When the caller first arrived: now, unless it was refused before.
    kernel::steady_time take(std::uint64_t caller, kernel::steady_time now);
    std::size_t size() const { return by_caller_.size(); }

private:
    struct refusal
    {
        kernel::steady_time first_arrival{};
        kernel::steady_time at{};
    };

    void forget_expired(kernel::steady_time now);
    void forget_oldest();

    std::unordered_map<std::uint64_t, refusal> by_caller_;
    /// In the order of the refusals.
    std::deque<std::pair<kernel::steady_time, std::uint64_t>> refusals_;
};

} // namespace endiveward::room

#endif
