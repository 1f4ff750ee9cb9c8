#include "gateway/prompt_mix.hpp"

#include "gateway/endpoint_record.hpp"
#include "gateway/types/endpoint_requirements.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace endiveward::gateway
{

namespace
{

using ms = std::chrono::duration<double, std::milli>;

/// A prompt whose own part takes longer to prefill is long: half of the target
/// latency of short streams (500 ms). A limit of 150 ms made both kinds late
/// more often in the load test.
constexpr ms long_prefill{250};
/// Shared tokens of the prompts for which `away_from_home_cost` was chosen.
constexpr double usual_shared_tokens = 5382;
/// The share of long prompts that is assumed until a router has sent some, and
/// the number of tokens for which the assumption stands: about six seconds of a
/// router's requests.
constexpr double assumed_share = 0.15;
constexpr double assumed_tokens = 300000;
/// Long prompts of several routers meet at an endpoint before reports tell of
/// them. With 1.2, more of them were late than with this; with 1.5, other
/// prompts were later at twice the usual load.
constexpr double share_margin = 1.35;
/// Seed of the order in which endpoints join the share of long prompts. It is
/// the same for all routers.
constexpr std::uint64_t share_seed = 0x6c6f6e67;

std::uint64_t share_rank(endpoint_record const& it)
{
    auto const& id = it.entry().id.str();
    return XXH3_64bits_withSeed(id.data(), id.size(), share_seed);
}

/// Tokens that no other request shares, whichever endpoint reads them.
std::uint32_t own_tokens(prompt_info const& prompt)
{
    return prompt.parts.size() > 1 ? prompt.parts.back().tokens
                                   : prompt.prompt_tokens;
}

} // namespace

prompt_mix::prompt_mix(placement_settings const& settings)
    : settings_(settings)
{
}

// Load pattern: a tenth of the long prompts take 150 to 960 ms to prefill, and
// 28 routers learn of them from reports 200 ms old. Nearly all short prompts
// that miss their target were sent behind a long one that no report had told
// of, so no estimate of load avoids it. The routers therefore agree beforehand
// which endpoints long prompts use: the first of the live endpoints by
// rendezvous hash, in proportion to the long prompts' share of all prefill
// work. A share that grows or
// shrinks keeps its other members, so that routers whose shares differ slightly
// still agree about most endpoints.
std::optional<prompt_mix_plan>
prompt_mix::make_plan(record_list endpoints,
                      endpoint_requirements const& requirements,
                      kernel::steady_time now) const
{
    auto const mode = settings_.prompt_mix;
    if (!requirements.prompt || mode == prompt_mix_mode::off ||
        (mode == prompt_mix_mode::automatic && !requirements.contended))
        return std::nullopt;
    prompt_mix_plan res;
    res.is_long = own_tokens(*requirements.prompt) >
                  long_prefill.count() * settings_.prefill_tokens_per_ms;
    double long_tokens = assumed_share * assumed_tokens;
    double tokens = assumed_tokens;
    std::vector<std::pair<std::uint64_t, endpoint_record const*>> ranked;
    ranked.reserve(endpoints.size());
    for (auto const& it : endpoints)
    {
        long_tokens += it->demand().long_tokens(now);
        tokens += it->demand().tokens(now);
        if (it->available(now) && !it->reloading())
            ranked.emplace_back(share_rank(*it), it.get());
    }
    auto const n = static_cast<std::size_t>(
        std::lround(share_margin * long_tokens / tokens *
                    static_cast<double>(ranked.size())));
    // Without short prompts, long ones use all endpoints.
    if (n == 0 || n >= ranked.size())
        return res;
    std::nth_element(ranked.begin(),
                     ranked.begin() + static_cast<std::ptrdiff_t>(n),
                     ranked.end(), std::greater<>());
    ranked.resize(n);
    for (auto const& it : ranked)
        res.long_share.push_back(it.second);
    std::sort(res.long_share.begin(), res.long_share.end(), std::less<>());
    return res;
}

bool prompt_mix::prefers(prompt_mix_plan const& plan, endpoint_record const& it)
{
    return plan.long_share.empty() ||
           std::binary_search(plan.long_share.begin(), plan.long_share.end(),
                              &it, std::less<>()) == plan.is_long;
}

// About one short prompt arrives at an endpoint of the documented deployments
// within the 200 ms in which no report tells of a long one, so a long prompt
// costs the others as much time as it takes itself. A short prompt among the
// long ones is expected to wait for one that is not known yet.
double prompt_mix::misplacement_ms(prompt_mix_plan const& plan,
                                   endpoint_record const& it,
                                   std::uint32_t uncached) const
{
    if (prefers(plan, it))
        return 0;
    return plan.is_long ? uncached / settings_.prefill_tokens_per_ms
                        : long_prefill.count();
}

// Load pattern: short prompts that share 568 tokens waited up to 400 ms at the
// home of their prefix, although another endpoint reads these in 13 ms. Longer
// prefixes than usual cost no more than they do without this rule: their
// requests leave a busy home as before.
double prompt_mix::away_from_home_ms(std::uint32_t missing) const
{
    return ms(settings_.away_from_home_cost).count() *
           std::min(1.0, missing / usual_shared_tokens);
}

std::string_view
prompt_mix::describe(std::optional<prompt_mix_plan> const& plan,
                     endpoint_record const& chosen)
{
    if (!plan || plan->long_share.empty())
        return "unmixed";
    if (prefers(*plan, chosen))
        return plan->is_long ? "long" : "short";
    return plan->is_long ? "long_outside" : "short_inside";
}

} // namespace endiveward::gateway
