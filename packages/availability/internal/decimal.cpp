#include "availability/internal/decimal.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

namespace endiveward::availability
{

std::optional<double> parse_decimal(std::string_view text)
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
        return std::numeric_limits<double>::max();
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

} // namespace endiveward::availability
