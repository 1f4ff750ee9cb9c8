#include "kernel/half_jitter.hpp"

#include "kernel/i_random_source.hpp"

#include <cstdint>

namespace endiveward::kernel
{

std::chrono::milliseconds half_jitter(std::chrono::milliseconds pause,
                                      i_random_source& random)
{
    auto const half = pause.count() / 2;
    auto const choices = static_cast<std::uint64_t>(half + 1);
    return std::chrono::milliseconds(
        half + static_cast<std::int64_t>(random.next() % choices));
}

} // namespace endiveward::kernel
