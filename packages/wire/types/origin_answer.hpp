#ifndef ENDIVEWARD_WIRE_TYPES_ORIGIN_ANSWER_HPP
#define ENDIVEWARD_WIRE_TYPES_ORIGIN_ANSWER_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/stream_origin.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace endiveward::wire
{

/// An agent's answer to an `origin_query`.
struct origin_answer
{
    std::uint64_t id = 0;
    /// None if the agent does not know the stream.
    std::optional<stream_origin> origin;
    /// Software versions of the service at which streams that the agent knows
    /// of began.
    std::vector<kernel::software_version> versions;

    bool operator==(origin_answer const&) const = default;
};

} // namespace endiveward::wire

#endif
