#ifndef ENDIVEWARD_WIRE_TYPES_ORIGIN_QUERY_HPP
#define ENDIVEWARD_WIRE_TYPES_ORIGIN_QUERY_HPP

#include "kernel/types/identifiers.hpp"

#include <cstdint>

namespace endiveward::wire
{

/// A router asks an agent where a stream began.
struct origin_query
{
    /// Chosen by the router; the answer has it, too.
    std::uint64_t id = 0;
    std::uint64_t stream = 0;
    /// The service whose software versions are asked for as well.
    kernel::service_id service;

    bool operator==(origin_query const&) const = default;
};

} // namespace endiveward::wire

#endif
