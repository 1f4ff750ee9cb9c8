#include "weights/rollout_plan.hpp"

#include <xxhash.h>

#include <algorithm>

namespace endiveward::weights
{

namespace
{

std::uint64_t position_hash(kernel::endpoint_id const& id)
{
    return XXH3_64bits(id.str().data(), id.str().size());
}

} // namespace

rollout_plan::rollout_plan(std::vector<kernel::endpoint_id> endpoints,
                           weight_version version, rollout_options options)
    : endpoints_(std::move(endpoints))
    , options_(options)
{
    std::sort(endpoints_.begin(), endpoints_.end(),
              [](auto const& a, auto const& b)
              {
                  auto const x = position_hash(a);
                  auto const y = position_hash(b);
                  return x != y ? x < y : a.str() < b.str();
              });
    // A new version may be announced before the rollout of the previous one has
    // ended. The sequence is reversed for every other version, so that the same
    // endpoints are not always last.
    if (version % 2 == 0)
        std::reverse(endpoints_.begin(), endpoints_.end());
}

std::optional<std::chrono::milliseconds>
rollout_plan::start_delay_of(kernel::endpoint_id const& id) const
{
    auto const found = std::find(endpoints_.begin(), endpoints_.end(), id);
    if (found == endpoints_.end())
        return std::nullopt;
    return start_delay_at(static_cast<std::size_t>(found - endpoints_.begin()));
}

std::chrono::milliseconds rollout_plan::last_start_delay() const
{
    return endpoints_.empty() ? std::chrono::milliseconds(0)
                              : start_delay_at(endpoints_.size() - 1);
}

std::chrono::milliseconds
rollout_plan::start_delay_at(std::size_t position) const
{
    auto const group_size = std::max(
        options_.min_group_size, endpoints_.size() / options_.group_divisor);
    return options_.group_interval * static_cast<int>(position / group_size);
}

} // namespace endiveward::weights
