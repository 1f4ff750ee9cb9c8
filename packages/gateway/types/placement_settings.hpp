#ifndef ENDIVEWARD_GATEWAY_TYPES_PLACEMENT_SETTINGS_HPP
#define ENDIVEWARD_GATEWAY_TYPES_PLACEMENT_SETTINGS_HPP

#include "gateway/types/prompt_mix_mode.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace endiveward::gateway
{

/// Parameters of the cost model that chooses an endpoint. Costs are given as
/// the equivalent waiting time.
struct placement_settings
{
    /// Prefill rate of an engine that also decodes other requests. An idle
    /// engine of the documented deployments reaches 57.
    double prefill_tokens_per_ms = 45;
    /// Whether the speed of endpoints also decides the homes of prefixes and
    /// what being late costs, beside the times that are expected.
    bool prefers_by_speed = false;
    /// Prompt length that is assumed if nothing is known.
    double default_prompt_tokens = 4000;
    /// Share of the requests at an endpoint that is assumed to have no output
    /// yet if only their number is known.
    double unanswered_share = 0.4;
    /// Number of endpoints that are compared besides those that have cached the
    /// prefix.
    std::size_t sampled_endpoints = 3;
    /// Minimum number of missing prefix tokens for which the KV cache store is
    /// used. In the documented deployments its link of 31 Gbit/s carries about
    /// 17 prompts of 12,000 tokens per second, so short prefixes are left out.
    std::uint32_t min_store_tokens = 1500;
    /// Added time per decoding step for each request in the batch, as specified
    /// for the engines of the documented deployments.
    double step_ms_per_request = 0.1;
    /// Bandwidth of a link between engines: 130 Gbit/s.
    double transfer_bytes_per_ms = 16e6;
    /// Setup time of a transfer.
    std::chrono::milliseconds transfer_setup{6};
    /// Cost of sending a request to another availability zone.
    std::chrono::milliseconds cross_zone_cost{25};
    /// Cost of computing a shared prefix at another endpoint than its home, on
    /// which all processes agree. Another process may be having it computed at
    /// the home at this moment, and computing it twice wastes more than
    /// waiting.
    std::chrono::milliseconds away_from_home_cost{400};
    /// Cost of fetching a prefix in addition to the transfer time.
    std::chrono::milliseconds fetch_cost{20};
    /// Cost of an endpoint at which all recent requests failed, scaled by the
    /// failure rate, and of a stalled endpoint.
    std::chrono::milliseconds failure_cost{1500};
    /// Cost of an endpoint that is expected to refuse requests because it loads
    /// new weights or has not loaded the requested ones.
    std::chrono::milliseconds reloading_cost{2000};
    /// Cost of an endpoint with a model version older than the target version.
    std::chrono::milliseconds outdated_weights_cost{60};
    /// Cost of an endpoint whose KV cache memory would be full. Memory becomes
    /// free only when a running request ends, so the wait takes about as long
    /// as a typical request.
    std::chrono::milliseconds memory_full_cost{600};
    /// Whether long prompts are kept apart from short ones.
    prompt_mix_mode prompt_mix = prompt_mix_mode::off;
};

} // namespace endiveward::gateway

#endif
