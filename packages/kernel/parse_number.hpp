#ifndef ENDIVEWARD_KERNEL_PARSE_NUMBER_HPP
#define ENDIVEWARD_KERNEL_PARSE_NUMBER_HPP

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace endiveward::kernel
{

/// The whole text as a decimal number, if it is one.
template <typename T>
std::optional<T> parse_number(std::string_view text)
{
    T res{};
    auto const* const end = text.data() + text.size();
    auto const [at, ec] = std::from_chars(text.data(), end, res);
    if (ec != std::errc() || at != end)
        return std::nullopt;
    return res;
}

} // namespace endiveward::kernel

#endif
