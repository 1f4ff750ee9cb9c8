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

/// One request, for finding the causes of a tail.
struct request_trace
{
    double arrival_ms = 0;
    std::size_t worker = 0;
    std::size_t attempts = 0;
    double ttft_ms = 0;
    /// From arrival to the start at the engine.
    double wait_ms = 0;
    std::uint64_t prefix_bytes = 0;
    std::uint64_t hit_bytes = 0;
    /// What placement expected of the chosen worker.
    std::uint64_t expected_hit_bytes = 0;
    double expected_wait_ms = 0;
    /// True state of the chosen worker and of the one with the longest cached
    /// prefix when the request was placed.
    double chosen_wait_ms = 0;
    std::uint64_t chosen_hit_bytes = 0;
    std::size_t best_worker = 0;
    std::uint64_t best_hit_bytes = 0;
    double best_wait_ms = 0;
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
    /// Measured requests that got a first token.
    std::vector<request_trace> traces;
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
