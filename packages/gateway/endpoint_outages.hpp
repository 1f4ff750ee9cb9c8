#ifndef ENDIVEWARD_GATEWAY_ENDPOINT_OUTAGES_HPP
#define ENDIVEWARD_GATEWAY_ENDPOINT_OUTAGES_HPP

#include "gateway/types/endpoint_outage.hpp"
#include "kernel/i_clock.hpp"

#include <memory>
#include <span>
#include <vector>

namespace endiveward::gateway
{

class endpoint_record;
class weights_view;
struct endpoint_requirements;

/// Returns why each of the endpoints, none of which the chooser has found
/// usable, cannot take the request. Those with another software version than
/// the request requires are left out.
std::vector<endpoint_outage>
find_outages(std::span<std::shared_ptr<endpoint_record> const> endpoints,
             endpoint_requirements const& requirements,
             weights_view const& weights, kernel::steady_time now);

} // namespace endiveward::gateway

#endif
