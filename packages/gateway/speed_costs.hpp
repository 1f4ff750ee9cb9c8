#ifndef ENDIVEWARD_GATEWAY_SPEED_COSTS_HPP
#define ENDIVEWARD_GATEWAY_SPEED_COSTS_HPP

#include "gateway/types/request_work.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <utility>

namespace endiveward::gateway
{

class endpoint_record;

/// Costs by which the speed of endpoints guides the choice of one for a
/// request, beside the time that it takes there. No I/O.
class speed_costs
{
public:
    using duration = request_work::duration;

    /// The first output is wanted within `left`, of the target `target`; zero
    /// means that there is no target.
    speed_costs(std::span<std::shared_ptr<endpoint_record> const> endpoints,
                duration left, std::chrono::milliseconds target);

    /// Whether the service's endpoints say how long work takes. Otherwise all
    /// costs are zero.
    bool enabled() const { return enabled_; }
    /// Whether the first output is expected after the target, at an endpoint
    /// with this factor to the nominal speed.
    bool late(request_work const& work, double speed) const;
    /// What is added to the time that the request takes there.
    duration cost(endpoint_record const& it, request_work const& work,
                  double speed) const;

private:
    duration left_;
    duration target_;
    double mean_weight_ = 1;
    bool enabled_ = false;
};

/// The part of `scale` that is added to the cost of an endpoint for one request
/// if all endpoints are compared, so that processes with the same reports do
/// not all choose the same endpoint.
request_work::duration spread_cost(std::uint64_t rank,
                                   request_work::duration scale);

/// The endpoint with the greatest value is the home of a prefix. `rank` is
/// the rendezvous hash; an endpoint gets homes in proportion to its weight.
std::pair<double, std::uint64_t> home_rank(double weight, std::uint64_t rank);

} // namespace endiveward::gateway

#endif
