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

void header_list::add(std::string_view name, std::string_view value)
{
    // Enough for the heads of usual requests.
    constexpr std::size_t usual_bytes = 512;
    constexpr std::size_t usual_fields = 16;
    if (fields_.empty())
    {
        text_.reserve(usual_bytes);
        fields_.reserve(usual_fields);
    }
    fields_.push_back({static_cast<std::uint32_t>(text_.size()),
                       static_cast<std::uint32_t>(name.size()),
                       static_cast<std::uint32_t>(value.size())});
    text_ += name;
    text_ += value;
}

header header_list::operator[](std::size_t n) const
{
    auto const& at = fields_[n];
    std::string_view const text(text_);
    return {text.substr(at.begin, at.name_size),
            text.substr(at.begin + at.name_size, at.value_size)};
}

header_list::const_iterator header_list::begin() const
{
    return {*this, 0};
}

header_list::const_iterator header_list::end() const
{
    return {*this, fields_.size()};
}

void header_list::clear()
{
    text_.clear();
    fields_.clear();
}

std::size_t header_list::memory() const
{
    return text_.capacity() + fields_.capacity() * sizeof(position);
}

std::optional<std::string_view> header_list::find(std::string_view name) const
{
    for (auto const it : *this)
    {
        if (equal_names(it.name, name))
            return it.value;
    }
    return std::nullopt;
}

std::string_view header_list::value_or(std::string_view name,
                                       std::string_view fallback) const
{
    return find(name).value_or(fallback);
}

std::size_t header_list::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        begin(), end(),
        [&](header const& it) { return equal_names(it.name, name); }));
}

bool header_list::lists(std::string_view name, std::string_view token) const
{
    auto found = false;
    for_each_token(name,
                   [&](std::string_view it)
                   {
                       found = equal_names(it, token);
                       return !found;
                   });
    return found;
}

} // namespace endiveward::gateway
