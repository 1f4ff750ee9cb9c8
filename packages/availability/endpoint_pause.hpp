#ifndef ENDIVEWARD_AVAILABILITY_ENDPOINT_PAUSE_HPP
#define ENDIVEWARD_AVAILABILITY_ENDPOINT_PAUSE_HPP

#include "availability/types/pause_settings.hpp"
#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace endiveward::availability
{

/// Decides when requests may be sent to an endpoint that has asked this process
/// for a pause.
class endpoint_pause
{
public:
    /// `seed` should differ between processes and endpoints.
    endpoint_pause(pause_settings settings, std::uint64_t seed);

    /// The endpoint asks for no requests for `requested`. A pause in force is
    /// never shortened. Returns true if there was none.
    bool begin(kernel::steady_time now, std::chrono::milliseconds requested);
    /// The endpoint has restarted.
    void reset();

    /// Whether a request may be sent if `unanswered` ones of this process have
    /// no response yet.
    bool allows(kernel::steady_time now, std::uint32_t unanswered) const;
    /// The end of the pause, after which traffic returns gradually; no value if
    /// there is none.
    std::optional<kernel::steady_time>
    paused_until(kernel::steady_time now) const;

private:
    std::chrono::milliseconds
    delay_for(std::chrono::milliseconds requested) const;

    pause_settings settings_;
    std::uint64_t random_state_;
    /// Which part of the spread this process waits in the current pause.
    double delay_fraction_ = 0;
    kernel::steady_time returns_at_{};
    bool returned_ = true;
};

} // namespace endiveward::availability

#endif
