#ifndef ENDIVEWARD_PLACEMENT_TYPES_PLACEMENT_REQUEST_HPP
#define ENDIVEWARD_PLACEMENT_TYPES_PLACEMENT_REQUEST_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/prefix_level.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::placement
{

/// A request for which an endpoint is to be chosen.
struct placement_request
{
    /// Endpoints that the configuration allows, sorted.
    std::shared_ptr<std::vector<kernel::endpoint_id> const> allowed;
    /// Empty for services.
    kernel::model_id model;
    kernel::model_version version;
    /// Outermost first; empty for services.
    std::vector<wire::prefix_level> levels;
    std::uint64_t prompt_bytes = 0;
    /// Calls with the same key go to the same endpoint.
    std::string idempotency_key;
    /// Endpoints that refused this request already.
    std::vector<kernel::endpoint_id> excluded;
    /// Time until the deadline. If set, a request that was refused before is
    /// not sent to an endpoint that is expected to keep it waiting longer.
    std::optional<std::chrono::milliseconds> time_left;
};

} // namespace endiveward::placement

#endif
