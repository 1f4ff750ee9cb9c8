#ifndef ENDIVEWARD_KERNEL_JSON_BOUNDS_HPP
#define ENDIVEWARD_KERNEL_JSON_BOUNDS_HPP

#include <cstddef>
#include <string_view>

namespace endiveward::kernel
{

/// Lists and objects within one another. Copying or writing a JSON value takes
/// stack for each level.
inline constexpr std::size_t max_json_levels = 128;
/// A JSON value takes up to about 100 bytes of memory, for a text of three.
inline constexpr std::size_t max_json_values = 1U << 16U;

/// Whether the JSON text has at most `max_json_levels` levels and
/// `max_json_values` values, members of objects included. Of text that is no
/// JSON only the part before the error counts.
bool is_within_json_bounds(std::string_view text);

} // namespace endiveward::kernel

#endif
