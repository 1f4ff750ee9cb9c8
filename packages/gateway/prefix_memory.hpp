#ifndef ENDIVEWARD_GATEWAY_PREFIX_MEMORY_HPP
#define ENDIVEWARD_GATEWAY_PREFIX_MEMORY_HPP

#include "gateway/types/prompt_info.hpp"
#include "kernel/i_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiveward::gateway
{

/// The leading parts of a prompt up to one part.
struct prefix_level
{
    /// Identifies the parts so far, under the salt.
    std::uint64_t hash = 0;
    /// Tokens of the parts so far.
    std::uint32_t tokens = 0;
};

std::vector<prefix_level> prefix_levels(prompt_info const& prompt,
                                        std::string_view salt);

/// Which prefixes an endpoint is believed to have cached: those of requests
/// sent to it, least recently used first to go.
class prefix_memory
{
public:
    explicit prefix_memory(std::uint64_t capacity_tokens);

    /// Tokens of the longest prefix that is held.
    std::uint32_t held(std::vector<prefix_level> const& levels) const;
    void add(std::vector<prefix_level> const& levels);
    void clear();

private:
    struct item
    {
        std::uint64_t hash = 0;
        /// Of the last part alone.
        std::uint32_t tokens = 0;
    };

    void touch(std::uint64_t hash, std::uint32_t tokens);

    std::uint64_t capacity_;
    std::uint64_t used_ = 0;
    /// Most recently used first.
    std::list<item> items_;
    std::unordered_map<std::uint64_t, std::list<item>::iterator> by_hash_;
};

} // namespace endiveward::gateway

#endif
