#ifndef ENDIVEWARD_TEST_SUPPORT_WAIT_HPP
#define ENDIVEWARD_TEST_SUPPORT_WAIT_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace endiveward::test_support
{

/// Long enough for a busy machine; only a failed test waits this long.
inline constexpr std::chrono::milliseconds long_limit{60'000};

/// Waits until the condition holds; gives whether it did within the limit.
bool wait_until(std::function<bool()> const& condition,
                std::chrono::milliseconds limit = long_limit);

/// Waits until a GET of the URL is answered with status 200.
bool wait_until_serving(std::string const& url,
                        std::chrono::milliseconds limit = long_limit);

/// A loopback TCP port that was free a moment ago and that no test gets again
/// while this process runs.
std::uint16_t free_port();

} // namespace endiveward::test_support

#endif
