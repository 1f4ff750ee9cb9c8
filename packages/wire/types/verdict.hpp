#ifndef ENDIVEWARD_WIRE_TYPES_VERDICT_HPP
#define ENDIVEWARD_WIRE_TYPES_VERDICT_HPP

#include "kernel/types/error.hpp"
#include "kernel/types/identifiers.hpp"
#include "wire/types/load_report.hpp"

#include <cstdint>
#include <optional>

namespace endiveward::wire
{

/// An agent's decision on a call: queued for execution, or refused.
struct verdict
{
    std::uint64_t call_id = 0;
    /// Set if the call is refused.
    std::optional<kernel::error> refusal;
    /// Bytes of the prompt expected in the engine's cache.
    std::uint64_t hit_bytes = 0;
    load_report load;
    kernel::config_version config_version = 0;

    bool operator==(verdict const&) const = default;
};

} // namespace endiveward::wire

#endif
