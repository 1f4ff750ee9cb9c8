#ifndef ENDIVEWARD_AVAILABILITY_INTERNAL_FIELD_TEXT_HPP
#define ENDIVEWARD_AVAILABILITY_INTERNAL_FIELD_TEXT_HPP

#include <string_view>

namespace endiveward::availability
{

/// Removes the whitespace that HTTP allows around the value of a field.
inline std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blank = " \t";
    auto const first = text.find_first_not_of(blank);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blank) - first + 1);
}

} // namespace endiveward::availability

#endif
