#include "router/internal/backoff.hpp"

#include "kernel/i_random_source.hpp"

#include <algorithm>

namespace endiveward::router
{

namespace
{

constexpr std::uint32_t max_doublings = 6;

} // namespace

std::chrono::milliseconds backoff::next(kernel::i_random_source& random)
{
    auto const limit = std::min(
        max_delay, initial_delay * (1U << std::min(failures_, max_doublings)));
    ++failures_;
    auto const range = static_cast<std::uint64_t>(limit.count()) + 1;
    return std::chrono::milliseconds(random.next() % range);
}

} // namespace endiveward::router
