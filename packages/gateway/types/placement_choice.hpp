#ifndef ENDIVEWARD_GATEWAY_TYPES_PLACEMENT_CHOICE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_PLACEMENT_CHOICE_HPP

#include "gateway/endpoint_record.hpp"
#include "gateway/prefix_cache_estimate.hpp"
#include "gateway/types/kv_route.hpp"
#include "gateway/types/request_work.hpp"
#include "gateway/types/weights_status.hpp"
#include "weights/types/weight_version.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace endiveward::gateway
{

/// The chosen endpoint for a request, and the values to send with it.
struct placement_choice
{
    std::shared_ptr<endpoint_record> endpoint;
    request_footprint footprint;
    /// Zero if the request names no model.
    weights::weight_version version = 0;
    /// How that version relates to the target version of the model.
    weights_status weights = weights_status::current;
    std::string cache_salt;
    kv_route kv;
    /// The prefix levels of the prompt under the cache salt.
    std::vector<prefix_level> levels;
    /// The longest prefix that other requests may share.
    prefix_level shared;
    /// Prefix tokens that are estimated to be cached at the endpoint or the
    /// source.
    std::uint32_t reusable_tokens = 0;
    /// The work until the first output.
    request_work work;
    /// Whether the endpoint is expected to have memory for the request.
    bool fits_memory = true;
    /// Whether the process has a share in what is free there.
    bool has_share = true;
    /// How the prompt was placed among long and short ones; see
    /// `prompt_mix::describe`.
    std::string_view mix = "unmixed";
    /// Estimated time until the endpoint starts the request. If all endpoints
    /// were compared and none has capacity, the shortest of those with memory
    /// for it.
    std::chrono::milliseconds wait{0};
    /// Estimated time until the first byte of a response.
    std::chrono::milliseconds time_to_first_byte{0};
};

} // namespace endiveward::gateway

#endif
