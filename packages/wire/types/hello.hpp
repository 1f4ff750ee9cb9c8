#ifndef ENDIVEWARD_WIRE_TYPES_HELLO_HPP
#define ENDIVEWARD_WIRE_TYPES_HELLO_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/load_report.hpp"
#include "wire/types/process_role.hpp"

#include <cstdint>
#include <vector>

namespace endiveward::wire
{

/// First message of each side of a connection.
struct hello
{
    std::uint32_t protocol = 0;
    process_role role = process_role::router;
    kernel::process_id process;
    kernel::incarnation incarnation = 0;
    kernel::region_id region;
    kernel::zone_id zone;
    /// Set by agents.
    kernel::endpoint_id endpoint;
    kernel::config_version config_version = 0;
    /// 32 random bytes, filled in by the connection.
    std::vector<std::uint8_t> nonce;
    load_report load;
    /// Programs of earlier versions close a connection on which they receive a
    /// `part_report`.
    bool accepts_part_reports = false;
    /// The same for a `limit_report`.
    bool accepts_limit_reports = false;
    /// The same for `stream_origins` and an `origin_query`.
    bool accepts_stream_origins = false;
    /// The same for a `fact_report`.
    bool accepts_facts = false;

    bool operator==(hello const&) const = default;
};

} // namespace endiveward::wire

#endif
