#include "explain/log_reader.hpp"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace endiveward::explain
{

namespace
{

using time_point = std::chrono::sys_time<std::chrono::milliseconds>;

/// `2026-12-04T01:02:03.456Z`
std::optional<time_point> parse_time(std::string const& text)
{
    std::tm parts{};
    std::istringstream in(text);
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    char dot = 0;
    char zone = 0;
    int ms = 0;
    in >> dot >> ms >> zone;
    if (in.fail() || dot != '.' || zone != 'Z')
        return std::nullopt;
    using namespace std::chrono;
    constexpr int first_year = 1900;
    auto const day = sys_days(year(parts.tm_year + first_year) /
                              (parts.tm_mon + 1) / parts.tm_mday);
    return day + hours(parts.tm_hour) + minutes(parts.tm_min) +
           seconds(parts.tm_sec) + milliseconds(ms);
}

std::string_view last_word(std::string_view text)
{
    auto const end = text.find_last_not_of(" \t");
    if (end == std::string_view::npos)
        return {};
    text = text.substr(0, end + 1);
    auto const before = text.find_last_of(" \t");
    return before == std::string_view::npos ? text : text.substr(before + 1);
}

/// Splits `name=value name="a value"`.
std::map<std::string, std::string> parse_fields(std::string_view text)
{
    std::map<std::string, std::string> res;
    while (!text.empty())
    {
        auto const begin = text.find_first_not_of(' ');
        if (begin == std::string_view::npos)
            break;
        text.remove_prefix(begin);
        auto const equals = text.find_first_of("= ");
        if (equals == std::string_view::npos)
            break;
        if (text[equals] == ' ')
        {
            text.remove_prefix(equals);
            continue;
        }
        std::string name(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        auto const quoted = text.starts_with('"');
        if (quoted)
            text.remove_prefix(1);
        auto const end = std::min(text.find(quoted ? '"' : ' '), text.size());
        res[std::move(name)] = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return res;
}

} // namespace

log_reader::log_reader(std::string process)
    : process_(std::move(process))
{
}

std::optional<log_record> log_reader::read(std::string_view line)
{
    auto const begin = line.find('{');
    if (begin == std::string_view::npos)
        return std::nullopt;
    auto const object =
        nlohmann::json::parse(line.substr(begin), nullptr, false);
    if (!object.is_object())
    {
        ++unreadable_;
        return std::nullopt;
    }
    auto const text_of = [&](char const* name)
    {
        auto const it = object.find(name);
        return it != object.end() && it->is_string() ? it->get<std::string>()
                                                     : std::string();
    };
    auto const time = parse_time(text_of("time"));
    auto fields = parse_fields(text_of("message"));
    auto const event = fields.find("event");
    if (!time || event == fields.end())
        return std::nullopt;
    log_record res;
    res.time = *time;
    res.event = event->second;
    fields.erase(event);
    res.fields = std::move(fields);
    auto const prefix = last_word(line.substr(0, begin));
    if (!prefix.empty())
        process_ = prefix;
    else if (res.event == "start" && !res.value("process").empty())
        process_ = res.value("process");
    res.process = process_;
    return res;
}

} // namespace endiveward::explain
