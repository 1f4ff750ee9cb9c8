#ifndef ENDIVEWARD_ROUTER_BACKOFF_HPP
#define ENDIVEWARD_ROUTER_BACKOFF_HPP

#include <chrono>
#include <cstdint>

namespace endiveward::kernel
{
class i_random_source;
}

namespace endiveward::router
{

/// Delays between connection attempts: exponential backoff with full jitter, so
/// that processes that restart together do not reconnect at the same time.
class backoff
{
public:
    static constexpr std::chrono::milliseconds initial_delay{100};
    static constexpr std::chrono::milliseconds max_delay{5000};

    /// Returns the delay before the next attempt and counts a failure. `reset`
    /// clears the count.
    std::chrono::milliseconds next(kernel::i_random_source& random);
    void reset() { failures_ = 0; }

private:
    std::uint32_t failures_ = 0;
};

} // namespace endiveward::router

#endif
