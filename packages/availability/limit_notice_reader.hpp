#ifndef ENDIVEWARD_AVAILABILITY_LIMIT_NOTICE_READER_HPP
#define ENDIVEWARD_AVAILABILITY_LIMIT_NOTICE_READER_HPP

#include "availability/types/limit_notice.hpp"

#include <optional>
#include <string_view>

namespace endiveward::availability
{

/// Reads the value of the field, null if an answer has none: a decimal number
/// of requests a second, which may be zero. Any other value, also a negative
/// number, is unreadable.
limit_notice read_limit_notice(std::optional<std::string_view> value);

} // namespace endiveward::availability

#endif
