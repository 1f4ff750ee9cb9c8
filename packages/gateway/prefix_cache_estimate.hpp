#ifndef ENDIVEWARD_GATEWAY_PREFIX_CACHE_ESTIMATE_HPP
#define ENDIVEWARD_GATEWAY_PREFIX_CACHE_ESTIMATE_HPP

#include "gateway/types/prompt_info.hpp"
#include "kernel/i_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiveward::gateway
{

/// The leading parts of a prompt up to one part.
struct prefix_level
{
    /// Identifies the last of the parts, under the salt.
    std::uint64_t key = 0;
    /// Tokens of the last of the parts.
    std::uint32_t part_tokens = 0;
    /// Tokens of all the parts.
    std::uint32_t tokens = 0;
};

/// Identifies a part of a prompt under a salt.
std::uint64_t part_key(std::string_view salt, std::string_view part_id);

std::vector<prefix_level> prefix_levels(prompt_info const& prompt,
                                        std::string_view salt);

/// Which parts of prompts an endpoint is believed to have cached: those that
/// its agent has reported, and for a while those of requests sent to it.
class prefix_cache_estimate
{
public:
    /// Tokens of the longest prefix that is held.
    std::uint32_t cached_tokens(std::vector<prefix_level> const& levels,
                                kernel::steady_time now) const;
    /// A request with these parts was sent.
    void expect(std::vector<prefix_level> const& levels,
                kernel::steady_time now);
    /// The engine stores this much of a part now; zero if it was evicted.
    void report(std::uint64_t key, std::uint32_t tokens);
    void clear();
    /// Whether expectations hold until they are reported otherwise, since the
    /// agent reports what is evicted.
    void set_reported(bool reported) { reported_ = reported; }
    /// Forgets expectations that are too old.
    void expire(kernel::steady_time now);
    std::size_t size() const { return reports_.size() + expected_.size(); }

private:
    struct expectation
    {
        std::uint32_t tokens = 0;
        kernel::steady_time at{};
    };

    std::uint32_t tokens_of(std::uint64_t key, kernel::steady_time now) const;

    std::unordered_map<std::uint64_t, std::uint32_t> reports_;
    std::unordered_map<std::uint64_t, expectation> expected_;
    bool reported_ = false;
};

} // namespace endiveward::gateway

#endif
