#ifndef ENDIVEWARD_GATEWAY_TYPES_PLACEMENT_SETTINGS_HPP
#define ENDIVEWARD_GATEWAY_TYPES_PLACEMENT_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace endiveward::gateway
{

/// Weights of the choice of an endpoint. Times are costs: what a unit of each
/// disadvantage is worth in waiting time.
struct placement_settings
{
    /// Prompt tokens that an engine reads in a millisecond beside the decoding
    /// of other requests; 57 on an idle engine (sheet of the installations).
    double prefill_tokens_per_ms = 45;
    /// Prompt tokens that a request is taken to have where nothing is known.
    double default_prompt_tokens = 4000;
    /// Share of the requests at an endpoint that have no output yet, where
    /// only their number is known.
    double unanswered_share = 0.4;
    /// Endpoints that are compared beside those that hold a prefix.
    std::size_t sampled_endpoints = 3;
    /// Tokens of a prefix that must be missing for the store of KV cache to be
    /// asked and to get them. Its link of 31 Gbit/s carries about 17 prompts of
    /// 12,000 tokens a second (sheets), so short prefixes are left out.
    std::uint32_t min_store_tokens = 1500;
    /// How much longer a step takes for each request in the batch (sheet).
    double step_ms_per_request = 0.1;
    /// Bytes that a link between engines carries in a millisecond: 130 Gbit/s.
    double transfer_bytes_per_ms = 16e6;
    /// Time to set a transfer up.
    std::chrono::milliseconds transfer_setup{6};
    /// Cost of sending a request to another availability zone.
    std::chrono::milliseconds cross_zone_cost{25};
    /// Cost of reading a shared prefix elsewhere than at its home, the
    /// endpoint that all processes agree on. Another process may just have it
    /// read at the home; reading it twice wastes more than the wait.
    std::chrono::milliseconds away_from_home_cost{400};
    /// Cost of fetching a prefix beside the time of the transfer.
    std::chrono::milliseconds fetch_cost{20};
    /// Cost of an endpoint at which every request failed lately.
    std::chrono::milliseconds failure_cost{1500};
    /// Cost of an endpoint that is about to refuse requests for new weights.
    std::chrono::milliseconds reloading_cost{2000};
    /// Cost of an endpoint with weights older than the named ones.
    std::chrono::milliseconds outdated_weights_cost{60};
    /// Cost when the memory for running requests is full; waiting for room
    /// takes as long as common requests run.
    std::chrono::milliseconds memory_full_cost{600};
};

} // namespace endiveward::gateway

#endif
