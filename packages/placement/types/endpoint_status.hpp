#ifndef ENDIVEWARD_PLACEMENT_TYPES_ENDPOINT_STATUS_HPP
#define ENDIVEWARD_PLACEMENT_TYPES_ENDPOINT_STATUS_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/load_report.hpp"

namespace endiveward::placement
{

/// Status of an endpoint as known to membership.
struct endpoint_status
{
    kernel::endpoint_id id;
    kernel::region_id region;
    kernel::zone_id zone;
    /// Connected, responsive, and neither draining nor leaving.
    bool available = false;
    wire::load_report load;
};

} // namespace endiveward::placement

#endif
