#include "gateway/internal/endpoint_candidate.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace endiveward::gateway
{

namespace
{

using ms = std::chrono::duration<double, std::milli>;

} // namespace

/// Returns the cheapest candidate whose wait does not exceed `max_wait`,
/// or null.
endpoint_chooser::candidate*
endpoint_chooser::cheapest(std::vector<candidate>& candidates,
                           std::chrono::milliseconds max_wait)
{
    candidate* res = nullptr;
    for (auto& it : candidates)
    {
        if (it.choice.wait <= max_wait &&
            (res == nullptr || it.cost < res->cost))
            res = &it;
    }
    return res;
}

bool endpoint_chooser::has_capacity(candidate const& it,
                                    endpoint_requirements const& requirements)
{
    return it.choice.wait <= requirements.max_wait && it.choice.fits_memory &&
           it.choice.has_share;
}

/// Notes what the endpoints lack if none of them has capacity.
void endpoint_chooser::describe_shortage(
    std::vector<candidate> const& candidates, placement_choice& choice)
{
    candidate const* shortest = nullptr;
    for (auto const& it : candidates)
    {
        auto const rank = [](candidate const& a)
        { return std::pair(!a.choice.fits_memory, a.choice.wait); };
        if (shortest == nullptr || rank(it) < rank(*shortest))
            shortest = &it;
    }
    auto const [wait, fits] =
        std::pair(shortest->choice.wait, shortest->choice.fits_memory);
    choice.wait = wait;
    choice.fits_memory = fits;
    choice.has_share = false;
}

/// Returns the cheapest candidate that has capacity for the request, or null.
endpoint_chooser::candidate*
endpoint_chooser::with_capacity(std::vector<candidate>& candidates,
                                endpoint_requirements const& requirements)
{
    candidate* res = nullptr;
    for (auto& it : candidates)
    {
        if (has_capacity(it, requirements) &&
            (res == nullptr || it.cost < res->cost))
            res = &it;
    }
    return res;
}

// Load pattern: most endpoints are full, and all routers find the same few with
// capacity in the same reports. If each chose the cheapest of them, it would be
// overloaded before the next report. Weighted rendezvous hashing sends each
// endpoint a share in proportion to its headroom.
/// Chooses pseudo-randomly among the candidates that have capacity for the
/// request; null if there is none.
endpoint_chooser::candidate*
endpoint_chooser::by_headroom(std::vector<candidate>& candidates,
                              endpoint_requirements const& requirements)
{
    constexpr int mantissa_bits = 53;
    candidate* res = nullptr;
    double best = 0;
    for (auto& it : candidates)
    {
        if (!has_capacity(it, requirements))
            continue;
        auto const& id = it.choice.endpoint->entry().id.str();
        auto const rank = rendezvous_rank(id, requirements.seed);
        auto const u =
            std::ldexp(static_cast<double>(rank >> (64 - mantissa_bits)) + 0.5,
                       -mantissa_bits);
        auto const headroom =
            1 + ms(requirements.max_wait - it.choice.wait).count();
        auto const delay = -std::log(u) * (1 + it.cost) / headroom;
        if (res == nullptr || delay < best)
        {
            res = &it;
            best = delay;
        }
    }
    return res;
}

} // namespace endiveward::gateway
