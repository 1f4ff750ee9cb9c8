#ifndef ENDIVEWARD_PLACEMENT_PREFIX_LEVELS_HPP
#define ENDIVEWARD_PLACEMENT_PREFIX_LEVELS_HPP

#include "wire/types/prefix_level.hpp"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace endiveward::placement
{

class cache_namespace;

/// Bytes of prompt text in a block. Engines cache whole blocks.
inline constexpr std::size_t block_bytes = 1024;

inline constexpr std::size_t max_prefix_levels = 8;

/// Computes the nested prefix levels of a prompt, outermost first. The prompt
/// is the concatenation of its parts: for a chat, `<role>\n<content>\n` of each
/// message; for a completion, its text. A level ends with the last whole block
/// before the end of a part, and its hash is the chained hash of that block. A
/// part that does not complete a block adds no level. If there are more than
/// `max_prefix_levels` levels, the outermost half and the deepest half of that
/// number are returned.
std::vector<wire::prefix_level>
make_prefix_levels(cache_namespace const& ns,
                   std::span<std::string_view const> parts);

} // namespace endiveward::placement

#endif
