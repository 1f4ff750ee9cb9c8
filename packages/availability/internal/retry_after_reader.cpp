#include "availability/retry_after_reader.hpp"

#include "availability/internal/decimal.hpp"
#include "availability/internal/field_text.hpp"
#include "availability/internal/http_date.hpp"

#include <optional>
#include <string_view>

namespace endiveward::availability
{

namespace
{

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

std::optional<seconds> parse_seconds(std::string_view text)
{
    auto const n = parse_decimal(text);
    return n ? std::optional(seconds(*n)) : std::nullopt;
}

/// The time from the answer to the date. The clock of this machine is not used:
/// it may differ from that of the endpoint.
std::optional<seconds> parse_date(std::string_view text,
                                  std::optional<std::string_view> date)
{
    if (!date)
        return std::nullopt;
    auto const until = parse_http_date(text);
    auto const sent = parse_http_date(trimmed(*date));
    if (!until || !sent)
        return std::nullopt;
    return *until - *sent;
}

} // namespace

retry_after read_retry_after(std::optional<std::string_view> value,
                             std::optional<std::string_view> date)
{
    if (!value)
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
