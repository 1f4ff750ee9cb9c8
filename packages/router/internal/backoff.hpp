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

/// Delays between attempts to connect: exponential with full jitter, so that
/// processes that restart together do not connect together.
class backoff
{
public:
    static constexpr std::chrono::milliseconds initial_delay{100};
    static constexpr std::chrono::milliseconds max_delay{5000};

    /// The delay before the next attempt; counts it as a failure until `reset`.
    std::chrono::milliseconds next(kernel::i_random_source& random);
    void reset() { failures_ = 0; }

private:
    std::uint32_t failures_ = 0;
};

} // namespace endiveward::router

#endif
