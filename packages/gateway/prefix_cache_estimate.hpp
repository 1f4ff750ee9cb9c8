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

/// A prefix of a prompt that ends with one of its parts.
struct prefix_level
{
    /// Key of the last part under the cache salt.
    std::uint64_t key = 0;
    /// Tokens of the last part.
    std::uint32_t part_tokens = 0;
    /// Tokens of all the parts.
    std::uint32_t tokens = 0;
};

/// Returns the key of a prompt part under a cache salt.
std::uint64_t part_key(std::string_view salt, std::string_view part_id);

std::vector<prefix_level> prefix_levels(prompt_info const& prompt,
                                        std::string_view salt);

/// Estimates which prompt parts an endpoint has cached: those that its agent
/// has reported and, for a limited time, those of requests that were sent to
/// it.
class prefix_cache_estimate
{
public:
    /// Returns the number of tokens in the longest prefix that is estimated to
    /// be cached.
    std::uint32_t cached_tokens(std::vector<prefix_level> const& levels,
                                kernel::steady_time now) const;
    /// A request with these parts was sent to the endpoint.
    void expect(std::vector<prefix_level> const& levels,
                kernel::steady_time now);
    /// Applies a report that the engine has this many tokens of a part cached;
    /// zero if the part was evicted.
    void report(std::uint64_t key, std::uint32_t tokens);
    void clear();
    /// Sets whether the agent reports cache changes. If it does, expected parts
    /// that are not confirmed expire sooner.
    void set_has_reports(bool has_reports) { has_reports_ = has_reports; }
    /// Removes expired expectations.
    void expire(kernel::steady_time now);
    std::size_t size() const
    {
        return reported_parts_.size() + expected_parts_.size();
    }

private:
    struct expectation
    {
        std::uint32_t tokens = 0;
        kernel::steady_time at{};
    };

    std::uint32_t tokens_of(std::uint64_t key, kernel::steady_time now) const;

    std::unordered_map<std::uint64_t, std::uint32_t> reported_parts_;
    std::unordered_map<std::uint64_t, expectation> expected_parts_;
    bool has_reports_ = false;
};

} // namespace endiveward::gateway

#endif
