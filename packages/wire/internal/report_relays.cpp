#include "wire/report_relays.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace endiveward::wire
{

namespace
{

/// More than one, because any of them may be cut off from some routers.
constexpr std::size_t max_relays = 3;

std::uint64_t rank_of(relay_candidate const& it)
{
    auto const& id = it.endpoint.str();
    return XXH3_64bits(id.data(), id.size());
}

} // namespace

std::vector<i_connection*>
choose_report_relays(std::vector<relay_candidate> candidates)
{
    auto const n = std::min(max_relays, candidates.size());
    std::partial_sort(
        candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(n),
        candidates.end(),
        [](auto const& a, auto const& b) { return rank_of(a) > rank_of(b); });
    std::vector<i_connection*> res;
    res.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
        res.push_back(candidates[i].connection);
    return res;
}

} // namespace endiveward::wire
