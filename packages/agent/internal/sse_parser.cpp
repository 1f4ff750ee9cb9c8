#include "agent/internal/sse_parser.hpp"

#include <charconv>

namespace endiveward::agent
{

bool sse_parser::feed(std::string_view bytes, event_handler const& on_event)
{
    while (!bytes.empty())
    {
        auto const end = bytes.find('\n');
        line_.append(bytes.substr(0, end));
        if (line_.size() + event_.data.size() > max_event_bytes)
            return false;
        if (end == std::string_view::npos)
            return true;
        bytes.remove_prefix(end + 1);
        if (!process_line(on_event))
            return false;
    }
    return true;
}

void sse_parser::reset()
{
    line_.clear();
    event_ = {};
    has_data_ = false;
}

bool sse_parser::process_line(event_handler const& on_event)
{
    auto line = std::move(line_);
    line_.clear();
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    if (line.empty())
    {
        auto const event = std::move(event_);
        auto const complete = has_data_;
        reset();
        return !complete || on_event(event);
    }
    std::string_view const all(line);
    auto const colon = all.find(':');
    auto value = colon == std::string_view::npos ? std::string_view()
                                                 : all.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    process_field(all.substr(0, colon), value);
    return true;
}

void sse_parser::process_field(std::string_view name, std::string_view value)
{
    if (name == "data")
    {
        if (has_data_)
            event_.data += '\n';
        event_.data += value;
        has_data_ = true;
    }
    if (name != "id")
        return;
    std::uint64_t number = 0;
    auto const* const end = value.data() + value.size();
    auto const res = std::from_chars(value.data(), end, number);
    if (res.ec == std::errc() && res.ptr == end)
        event_.id = number;
}

} // namespace endiveward::agent
