#include "availability/retry_after_reader.hpp"

#include "availability/internal/field_text.hpp"
#include "availability/internal/http_date.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace endiveward::availability
{

namespace
{

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

/// Digits with at most one point between or after them. Numbers of any length
/// are accepted, since they are limited afterwards.
std::optional<seconds> parse_seconds(std::string_view text)
{
    auto const only_digits =
        text.find_first_not_of("0123456789.") == std::string_view::npos;
    if (!only_digits || text.empty() || text.front() == '.' ||
        std::count(text.begin(), text.end(), '.') > 1)
        return std::nullopt;
    double n = 0;
    auto const [end, ec] = std::from_chars(
        text.data(), text.data() + text.size(), n, std::chars_format::fixed);
    if (ec == std::errc::result_out_of_range)
        return seconds::max();
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return seconds(n);
}

/// The time from the answer to the date. The clock of this machine is not used:
/// it may differ from that of the endpoint.
std::optional<seconds> parse_date(std::string_view text,
                                  std::string const* date)
{
    if (date == nullptr)
        return std::nullopt;
    auto const until = parse_http_date(text);
    auto const sent = parse_http_date(trimmed(*date));
    if (!until || !sent)
        return std::nullopt;
    return *until - *sent;
}

} // namespace

retry_after read_retry_after(std::string const* value, std::string const* date)
{
    if (value == nullptr)
        return no_pause();
    auto const text = trimmed(*value);
    auto time = parse_seconds(text);
    if (!time)
        time = parse_date(text, date);
    if (!time)
        return unreadable_pause();
    if (*time <= seconds(0))
        return no_pause();
    if (*time > max_requested_pause)
        return requested_pause{max_requested_pause, true};
    return requested_pause{std::chrono::ceil<milliseconds>(*time), false};
}

} // namespace endiveward::availability
