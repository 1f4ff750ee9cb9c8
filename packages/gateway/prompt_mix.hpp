#ifndef ENDIVEWARD_GATEWAY_PROMPT_MIX_HPP
#define ENDIVEWARD_GATEWAY_PROMPT_MIX_HPP

#include "gateway/types/placement_settings.hpp"
#include "gateway/types/prompt_mix_plan.hpp"
#include "kernel/i_clock.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace endiveward::gateway
{

class endpoint_record;
struct endpoint_requirements;

/// Keeps long prompts on a share of the endpoints that all routers agree on
/// and that follows the demand, so that short prompts do not wait behind them.
class prompt_mix
{
public:
    using record_list = std::span<std::shared_ptr<endpoint_record> const>;

    explicit prompt_mix(placement_settings const& settings);

    /// Returns no value if the request is placed without regard to other
    /// prompts.
    std::optional<prompt_mix_plan>
    make_plan(record_list endpoints, endpoint_requirements const& requirements,
              kernel::steady_time now) const;
    /// Whether the endpoint is one of those for prompts of this kind.
    static bool prefers(prompt_mix_plan const& plan, endpoint_record const& it);
    /// What it costs, in milliseconds, to prefill `uncached` tokens at an
    /// endpoint for prompts of the other kind.
    double misplacement_ms(prompt_mix_plan const& plan,
                           endpoint_record const& it,
                           std::uint32_t uncached) const;
    /// Cost in milliseconds of computing `missing` tokens of a shared prefix at
    /// another endpoint than its home.
    double away_from_home_ms(std::uint32_t missing) const;
    /// The kind of a prompt and of the chosen endpoint, for log and metrics.
    static std::string_view describe(std::optional<prompt_mix_plan> const& plan,
                                     endpoint_record const& chosen);

private:
    placement_settings settings_;
};

} // namespace endiveward::gateway

#endif
