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

/// Properties of a call by which its endpoint is chosen.
struct placement_request
{
    /// Endpoints that the configuration allows, sorted; null allows none.
    std::shared_ptr<std::vector<kernel::endpoint_id> const> allowed;
    /// Empty for plain services.
    kernel::model_id model;
    kernel::model_version version;
    /// Prefix levels of the prompt, outermost first; empty for plain services.
    std::vector<wire::prefix_level> levels;
    std::uint64_t prompt_bytes = 0;
    /// Calls with the same non-empty key are sent to the same endpoint.
    std::string idempotency_key;
    /// Endpoints that have already refused this request.
    std::vector<kernel::endpoint_id> excluded;
    /// Time until the deadline. If set, a request that was refused before fails
    /// as `overloaded` unless the expected wait of a remaining endpoint is
    /// within this time.
    std::optional<std::chrono::milliseconds> time_left;
};

} // namespace endiveward::placement

#endif
