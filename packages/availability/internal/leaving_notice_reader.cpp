#include "availability/leaving_notice_reader.hpp"

#include "availability/internal/field_text.hpp"

namespace endiveward::availability
{

leaving_notice read_leaving_notice(std::optional<std::string_view> value)
{
    if (!value)
        return leaving_notice::none;
    auto const text = trimmed(*value);
    if (text == "1")
        return leaving_notice::leaving;
    // Other values are not taken as leaving, since this state only ends with
    // the endpoint: one faulty field would take it out of use for good.
    return text == "0" ? leaving_notice::none : leaving_notice::unreadable;
}

} // namespace endiveward::availability
