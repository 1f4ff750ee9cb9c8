#include "gateway/speed_costs.hpp"

#include "gateway/endpoint_record.hpp"

#include <algorithm>
#include <cmath>

namespace endiveward::gateway
{

namespace
{

using duration = request_work::duration;

/// The expectation of the first output is uncertain, since reports are delayed
/// and a neighbor may slow the endpoint down: from the first share of the time
/// that is left it may come late, and at the second one it probably does. In
/// the model of speed_model_test.cpp, 0.8 and 1.2 give twice as many late long
/// streams.
constexpr double possibly_late_share = 0.5;
constexpr double probably_late_share = 1;
/// Up to this share of the time that is left, a request does not need a fast
/// endpoint.
constexpr double ample_share = 0.25;
/// More than 1, so that of idle endpoints the slower one is taken.
constexpr double reserve_factor = 1.1;

/// Where `value` is between the two, from 0 to 1.
double share_between(double value, double from, double to)
{
    return std::clamp((value - from) / (to - from), 0.0, 1.0);
}

/// In the open interval from 0 to 1.
double to_unit(std::uint64_t rank)
{
    // A double holds 53 bits.
    return (static_cast<double>(rank >> 11U) + 0.5) * 0x1p-53;
}

} // namespace

speed_costs::speed_costs(
    std::span<std::shared_ptr<endpoint_record> const> endpoints, duration left,
    std::chrono::milliseconds target)
    : left_(left)
    , target_(target)
    , enabled_(!endpoints.empty() && endpoints.front()->speed().enabled())
{
    if (!enabled_)
        return;
    double sum = 0;
    for (auto const& it : endpoints)
        sum += it->speed().home_weight();
    mean_weight_ = sum / static_cast<double>(endpoints.size());
}

bool speed_costs::late(request_work const& work, double speed) const
{
    return enabled_ && target_.count() > 0 && work.total() / speed > left_;
}

// Load pattern: prompts of up to 54,600 tokens, which reach their target of
// 1,000 ms only at engines of 1.7 times the usual speed, beside short prompts
// that are in time anywhere. A late first output costs the caller the target
// latency once more. To a request that is in time anyway a faster endpoint is
// worth nothing, so its own work counts as at an endpoint of mean speed.
duration speed_costs::cost(endpoint_record const& it, request_work const& work,
                           double speed) const
{
    // A request that is late already is late everywhere.
    if (!enabled_ || target_.count() <= 0 || left_.count() <= 0)
        return duration(0);
    auto const used = work.total() / speed / left_;
    auto const late =
        share_between(used, possibly_late_share, probably_late_share);
    auto const ample =
        1 - share_between(used, ample_share, possibly_late_share);
    auto const advantage = it.speed().home_weight() / mean_weight_ - 1;
    return target_ * late +
           work.own / speed * advantage * reserve_factor * ample;
}

// Load pattern: 28 routers with the same reports, 200 ms old. Endpoints that
// differ by less than `scale` are equally good as far as routers can tell.
duration spread_cost(std::uint64_t rank, duration scale)
{
    return scale * to_unit(rank);
}

// Weighted rendezvous hashing: of n endpoints each is first with a probability
// in proportion to its weight, and a changed weight moves no homes between
// others.
std::pair<double, std::uint64_t> home_rank(double weight, std::uint64_t rank)
{
    return {std::log(to_unit(rank)) / weight, rank};
}

} // namespace endiveward::gateway
