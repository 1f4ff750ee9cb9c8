#include "availability/internal/http_date.hpp"

#include <array>
#include <ctime>
#include <iomanip>
#include <iterator>
#include <locale>
#include <sstream>
#include <string>

namespace endiveward::availability
{

namespace
{

struct date_format
{
    char const* fields;
    std::string_view end;
};

/// IMF-fixdate, the obsolete format of RFC 850, and that of `asctime`.
constexpr std::array formats{
    date_format{"%a, %d %b %Y %H:%M:%S", " GMT"},
    date_format{"%a, %d-%b-%y %H:%M:%S", " GMT"},
    date_format{"%a %b %d %H:%M:%S %Y", ""},
};

std::optional<std::chrono::sys_seconds> to_time(std::tm const& parts)
{
    using namespace std::chrono;
    constexpr int first_year = 1900;
    // Years of two digits begin with 1969.
    constexpr int first_short_year = 69;
    constexpr int century = 100;
    auto const short_year = parts.tm_year < first_short_year ? century : 0;
    year_month_day const date(year(first_year + parts.tm_year + short_year),
                              month(static_cast<unsigned>(parts.tm_mon + 1)),
                              day(static_cast<unsigned>(parts.tm_mday)));
    if (!date.ok())
        return std::nullopt;
    return sys_days(date) + hours(parts.tm_hour) + minutes(parts.tm_min) +
           seconds(parts.tm_sec);
}

std::optional<std::chrono::sys_seconds> parse(std::string const& text,
                                              date_format const& format)
{
    std::istringstream in(text);
    in.imbue(std::locale::classic());
    std::tm parts{};
    in >> std::get_time(&parts, format.fields);
    if (in.fail())
        return std::nullopt;
    std::string const rest((std::istreambuf_iterator<char>(in)),
                           std::istreambuf_iterator<char>());
    if (rest != format.end)
        return std::nullopt;
    return to_time(parts);
}

} // namespace

std::optional<std::chrono::sys_seconds> parse_http_date(std::string_view text)
{
    for (auto const& it : formats)
    {
        if (auto const res = parse(std::string(text), it))
            return res;
    }
    return std::nullopt;
}

} // namespace endiveward::availability
