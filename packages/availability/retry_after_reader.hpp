#ifndef ENDIVEWARD_AVAILABILITY_RETRY_AFTER_READER_HPP
#define ENDIVEWARD_AVAILABILITY_RETRY_AFTER_READER_HPP

#include "availability/types/retry_after.hpp"

#include <chrono>
#include <optional>
#include <string_view>

namespace endiveward::availability
{

/// The longest pause that is accepted. A longer one is reduced to it, so that
/// one faulty value does not take an endpoint out of use for good.
constexpr std::chrono::milliseconds max_requested_pause =
    std::chrono::minutes(10);

/// Reads the value of `Retry-After`, null if there is none: seconds, also with
/// a fraction, rounded up to milliseconds; or an HTTP date, from which `date`,
/// the value of the same answer's `Date`, is subtracted. Zero and a date that
/// is not later ask for no pause. Any other value, also a negative number and a
/// date without a readable `Date`, is unreadable.
retry_after read_retry_after(std::optional<std::string_view> value,
                             std::optional<std::string_view> date);

} // namespace endiveward::availability

#endif
