#ifndef ENDIVEWARD_GATEWAY_TYPES_PLACEMENT_CHOICE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_PLACEMENT_CHOICE_HPP

#include "gateway/endpoint_record.hpp"
#include "gateway/prefix_cache_estimate.hpp"
#include "gateway/types/kv_route.hpp"
#include "weights/types/weight_version.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace endiveward::gateway
{

/// The endpoint for a request and how it is asked.
struct placement_choice
{
    std::shared_ptr<endpoint_record> endpoint;
    request_footprint footprint;
    /// Zero if the request names no model.
    weights::weight_version version = 0;
    std::string cache_salt;
    kv_route kv;
    /// The parts of the prompt under the salt.
    std::vector<prefix_level> levels;
    /// The part that other requests share, and its tokens with those before.
    prefix_level shared;
    /// Tokens of it that the endpoint or the source is believed to hold.
    std::uint32_t reusable_tokens = 0;
    /// Estimated time until the endpoint begins with the request.
    std::chrono::milliseconds wait{0};
    /// Estimated time until the first event.
    std::chrono::milliseconds time_to_first_byte{0};
};

} // namespace endiveward::gateway

#endif
