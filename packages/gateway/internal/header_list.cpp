#include "gateway/http/header_list.hpp"

#include <algorithm>
#include <cctype>

namespace endiveward::gateway
{

bool equal_names(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y)
                      { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

void header_list::add(std::string name, std::string value)
{
    fields_.push_back({std::move(name), std::move(value)});
}

std::string const* header_list::find(std::string_view name) const
{
    for (auto const& it : fields_)
    {
        if (equal_names(it.name, name))
            return &it.value;
    }
    return nullptr;
}

std::string_view header_list::value_or(std::string_view name,
                                       std::string_view fallback) const
{
    auto const* text = find(name);
    return text == nullptr ? fallback : std::string_view(*text);
}

std::size_t header_list::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        fields_.begin(), fields_.end(),
        [&](header const& it) { return equal_names(it.name, name); }));
}

bool header_list::lists(std::string_view name, std::string_view token) const
{
    for (auto const& it : fields_)
    {
        if (!equal_names(it.name, name))
            continue;
        std::string_view rest = it.value;
        while (!rest.empty())
        {
            auto const comma = rest.find(',');
            if (equal_names(trimmed(rest.substr(0, comma)), token))
                return true;
            if (comma == std::string_view::npos)
                break;
            rest.remove_prefix(comma + 1);
        }
    }
    return false;
}

} // namespace endiveward::gateway
