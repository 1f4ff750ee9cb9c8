#include "availability/limit_notice_reader.hpp"

#include "availability/internal/decimal.hpp"
#include "availability/internal/field_text.hpp"

namespace endiveward::availability
{

limit_notice read_limit_notice(std::optional<std::string_view> value)
{
    if (!value)
        return no_limit();
    auto const n = parse_decimal(trimmed(*value));
    if (!n)
        return unreadable_limit();
    return named_limit{*n};
}

} // namespace endiveward::availability
