#ifndef ENDIVEWARD_AVAILABILITY_INTERNAL_HTTP_DATE_HPP
#define ENDIVEWARD_AVAILABILITY_INTERNAL_HTTP_DATE_HPP

#include <chrono>
#include <optional>
#include <string_view>

namespace endiveward::availability
{

/// Reads a date in one of the three formats of RFC 9110, section 5.6.7.
std::optional<std::chrono::sys_seconds> parse_http_date(std::string_view text);

} // namespace endiveward::availability

#endif
