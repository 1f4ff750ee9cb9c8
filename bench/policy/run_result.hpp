#ifndef ENDIVEWARD_BENCH_POLICY_RUN_RESULT_HPP
#define ENDIVEWARD_BENCH_POLICY_RUN_RESULT_HPP

#include "policy/workload.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace endiveward::bench
{

/// Resolution of `run_result::hits_by_time`.
inline constexpr sim_time slice = std::chrono::milliseconds(100);

/// Bytes of prefixes and how many of them were cached.
struct hit_count
{
    std::uint64_t prefix_bytes = 0;
    std::uint64_t hit_bytes = 0;
};

/// What one policy did with a trace. Covers the requests that arrive after
/// the warm-up; README.md defines the figures.
struct run_result
{
    std::size_t requests = 0;
    std::size_t good = 0;
    std::size_t refused = 0;
    std::size_t late = 0;
    std::size_t lost = 0;
    std::size_t attempts = 0;
    hit_count hits;
    std::uint64_t computed_bytes = 0;
    std::uint64_t wasted_bytes = 0;
    /// Milliseconds, unsorted.
    std::vector<double> ttft;
    std::vector<double> refusal_time;
    /// By arrival, one entry for each `slice`.
    std::vector<hit_count> hits_by_time;
    double measured_s = 0;
    /// Faults of the policy or the simulation; must be zero.
    std::size_t chosen_unavailable = 0;
    std::size_t ended_twice = 0;
    std::size_t not_ended = 0;

    double hit_rate() const;
    /// Hit rate of the requests that arrive in an interval.
    double hit_rate(sim_time from, sim_time to) const;
    double goodput() const;
    double attempts_per_request() const;
    double ttft_percentile(double share) const;
    double refusal_percentile(double share) const;
};

} // namespace endiveward::bench

#endif
