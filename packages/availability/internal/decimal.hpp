#ifndef ENDIVEWARD_AVAILABILITY_INTERNAL_DECIMAL_HPP
#define ENDIVEWARD_AVAILABILITY_INTERNAL_DECIMAL_HPP

#include <optional>
#include <string_view>

namespace endiveward::availability
{

/// Reads digits with at most one point between or after them. A number beyond
/// the range of `double` is read as its largest value. Returns no value for any
/// other text, also for a sign or an exponent.
std::optional<double> parse_decimal(std::string_view text);

} // namespace endiveward::availability

#endif
