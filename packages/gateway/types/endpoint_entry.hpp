#ifndef ENDIVEWARD_GATEWAY_TYPES_ENDPOINT_ENTRY_HPP
#define ENDIVEWARD_GATEWAY_TYPES_ENDPOINT_ENTRY_HPP

#include "kernel/types/identifiers.hpp"
#include "weights/types/weight_version.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace endiveward::gateway
{

/// The data that an endpoint has registered. A restarted endpoint may keep its
/// id but has another incarnation.
struct endpoint_entry
{
    kernel::endpoint_id id;
    kernel::incarnation incarnation = 0;
    kernel::service_id service;
    /// IPv4 address.
    std::string host;
    std::uint16_t port = 0;
    kernel::zone_id zone;
    std::uint32_t slots = 0;
    /// Empty if the endpoint names none.
    kernel::software_version software;
    bool draining = false;
    /// No request may be sent there yet: its software version is being
    /// recorded.
    bool withheld = false;
    std::map<kernel::model_id, weights::weight_version> models;

    bool operator==(endpoint_entry const&) const = default;
};

} // namespace endiveward::gateway

#endif
