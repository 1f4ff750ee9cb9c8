#ifndef ENDIVEWARD_GATEWAY_REPORT_SHARE_HPP
#define ENDIVEWARD_GATEWAY_REPORT_SHARE_HPP

#include "kernel/i_clock.hpp"

#include <cstdint>

namespace endiveward::gateway
{

class endpoint_record;
struct endpoint_requirements;
struct request_footprint;

/// What an endpoint is expected to have free for the requests of all processes.
struct free_capacity
{
    double work_tokens = 0;
    double memory_tokens = 0;
};

/// Whether this process may send a request to the endpoint, if all of
/// `requirements.contenders` have requests for what its last report shows as
/// free.
bool has_report_share(endpoint_record const& endpoint,
                      request_footprint const& footprint,
                      free_capacity const& free,
                      endpoint_requirements const& requirements);

} // namespace endiveward::gateway

#endif
