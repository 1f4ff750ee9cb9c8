#include "policy/run_result.hpp"

#include <algorithm>
#include <cmath>

namespace endiveward::bench
{

namespace
{

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

// The smallest value that is not below the given share of all values.
double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    double const rank = std::ceil(share * static_cast<double>(values.size()));
    auto const it =
        values.begin() + static_cast<std::ptrdiff_t>(std::max(rank, 1.0) - 1);
    std::nth_element(values.begin(), it, values.end());
    return *it;
}

} // namespace

double run_result::hit_rate() const
{
    return ratio(static_cast<double>(hits.hit_bytes),
                 static_cast<double>(hits.prefix_bytes));
}

double run_result::hit_rate(sim_time from, sim_time to) const
{
    hit_count sum;
    auto const first = static_cast<std::size_t>(from / slice);
    auto const last = static_cast<std::size_t>(to / slice);
    for (std::size_t i = first; i < std::min(last, hits_by_time.size()); ++i)
    {
        sum.prefix_bytes += hits_by_time[i].prefix_bytes;
        sum.hit_bytes += hits_by_time[i].hit_bytes;
    }
    return ratio(static_cast<double>(sum.hit_bytes),
                 static_cast<double>(sum.prefix_bytes));
}

double run_result::goodput() const
{
    return ratio(static_cast<double>(good), measured_s);
}

double run_result::attempts_per_request() const
{
    return ratio(static_cast<double>(attempts), static_cast<double>(requests));
}

double run_result::ttft_percentile(double share) const
{
    return percentile(ttft, share);
}

double run_result::refusal_percentile(double share) const
{
    return percentile(refusal_time, share);
}

} // namespace endiveward::bench
