#ifndef ENDIVEWARD_WIRE_TYPES_CALL_END_HPP
#define ENDIVEWARD_WIRE_TYPES_CALL_END_HPP

#include "kernel/types/error.hpp"
#include "wire/types/call_outcome.hpp"
#include "wire/types/load_report.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace endiveward::wire
{

/// The end of a call. A call is complete only if the receiver has `chunks`
/// chunks and the outcome is `call_outcome::complete`.
struct call_end
{
    std::uint64_t call_id = 0;
    std::uint64_t chunks = 0;
    call_outcome outcome = call_outcome::failed;
    int http_status = 0;
    std::string content_type;
    /// Set unless the outcome is complete.
    std::optional<kernel::error> failure;
    std::uint64_t prompt_bytes = 0;
    std::uint64_t cached_bytes = 0;
    load_report load;
    /// The endpoint's process has ended, as far as known, with the call
    /// unfinished.
    bool endpoint_ended = false;

    bool operator==(call_end const&) const = default;
};

} // namespace endiveward::wire

#endif
