#include "gateway/prefix_cache_estimate.hpp"

#include <xxhash.h>

#include <algorithm>

namespace endiveward::gateway
{

namespace
{

/// Lifetime of an expected part if the agent reports cache changes. Reports
/// arrive within a second after the part was computed; an expectation that is
/// not confirmed by then was wrong.
constexpr std::chrono::seconds expectation_lifetime_with_reports{2};
/// Lifetime of an expected part without reports. The caches of typical
/// deployments turn over in about ten seconds.
constexpr std::chrono::seconds expectation_lifetime_without_reports{8};
/// Further parts are not noted, so that callers cannot fill the memory with
/// very many small parts, at very many endpoints.
constexpr std::size_t max_expected_parts = 2048;
constexpr std::size_t max_reported_parts = 4096;

/// Whether there is a place for the key.
template <typename Map>
bool has_place(Map const& parts, std::uint64_t key, std::size_t most)
{
    return parts.size() < most || parts.contains(key);
}

} // namespace

std::uint64_t part_key(std::string_view salt, std::string_view part_id)
{
    auto const seed = XXH3_64bits(salt.data(), salt.size());
    return XXH3_64bits_withSeed(part_id.data(), part_id.size(), seed);
}

std::vector<prefix_level> prefix_levels(prompt_info const& prompt,
                                        std::string_view salt)
{
    std::vector<prefix_level> res;
    res.reserve(prompt.parts.size());
    std::uint32_t tokens = 0;
    for (auto const& it : prompt.parts)
    {
        tokens += it.tokens;
        res.push_back({part_key(salt, it.id), it.tokens, tokens});
    }
    return res;
}

std::uint32_t prefix_cache_estimate::tokens_of(std::uint64_t key,
                                               kernel::steady_time now) const
{
    std::uint32_t res = 0;
    if (auto const found = reported_parts_.find(key);
        found != reported_parts_.end())
        res = found->second;
    auto const limit = has_reports_ ? expectation_lifetime_with_reports
                                    : expectation_lifetime_without_reports;
    auto const expected = expected_parts_.find(key);
    if (expected != expected_parts_.end() && now - expected->second.at < limit)
        res = std::max(res, expected->second.tokens);
    return res;
}

std::uint32_t
prefix_cache_estimate::cached_tokens(std::vector<prefix_level> const& levels,
                                     kernel::steady_time now) const
{
    std::uint32_t res = 0;
    for (auto const& it : levels)
    {
        auto const n = tokens_of(it.key, now);
        res += std::min(n, it.part_tokens);
        if (n < it.part_tokens)
            break;
    }
    return res;
}

void prefix_cache_estimate::expect(std::vector<prefix_level> const& levels,
                                   kernel::steady_time now)
{
    for (auto const& it : levels)
    {
        if (has_place(expected_parts_, it.key, max_expected_parts))
            expected_parts_[it.key] = {it.part_tokens, now};
    }
}

void prefix_cache_estimate::report(std::uint64_t key, std::uint32_t tokens)
{
    if (tokens == 0)
    {
        reported_parts_.erase(key);
        expected_parts_.erase(key);
        return;
    }
    if (has_place(reported_parts_, key, max_reported_parts))
        reported_parts_[key] = tokens;
}

void prefix_cache_estimate::clear()
{
    reported_parts_.clear();
    expected_parts_.clear();
}

void prefix_cache_estimate::expire(kernel::steady_time now)
{
    std::erase_if(
        expected_parts_, [now](auto const& it)
        { return now - it.second.at >= expectation_lifetime_without_reports; });
}

} // namespace endiveward::gateway
