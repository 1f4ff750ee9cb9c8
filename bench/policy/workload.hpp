#ifndef ENDIVEWARD_BENCH_POLICY_WORKLOAD_HPP
#define ENDIVEWARD_BENCH_POLICY_WORKLOAD_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace endiveward::bench
{

/// Time since the start of a run.
using sim_time = std::chrono::nanoseconds;

/// One kind of request.
struct request_kind
{
    double share = 1.0;
    /// Nested prefix levels used: 1 policy, 2 with engagement, 3 with file.
    std::size_t levels = 3;
    /// Bytes of the prompt that no other request has.
    std::uint64_t tail_bytes = 512;
    double output_tokens = 1;
    std::chrono::milliseconds deadline{30'000};
    std::uint8_t priority = 0;
};

/// A deployment and its traffic; see README.md for the keys.
struct workload
{
    std::string name;
    std::size_t zones = 3;
    std::size_t workers = 12;
    std::size_t slots = 8;
    std::size_t max_queue = 256;
    std::size_t cache_blocks = 400;
    std::uint64_t prefill_bytes_per_second = 40'000;
    std::chrono::milliseconds token_time{20};
    std::chrono::milliseconds restart_time{1000};

    std::size_t routers = 6;
    std::chrono::microseconds network_latency{500};
    std::chrono::milliseconds load_report_lag{0};
    double recompute_weight = 1.0;
    std::size_t candidates = 16;

    double rate_per_s = 40;
    sim_time duration{};
    sim_time warm_up{};
    std::vector<double> workspace_shares;
    std::size_t policy_blocks = 16;
    std::size_t engagements = 6;
    std::size_t engagement_blocks = 24;
    std::size_t active_files = 4;
    std::size_t file_blocks = 24;
    double uses_per_file = 6;
    std::vector<request_kind> kinds;

    /// Share of the traffic that one engagement takes, and for how long.
    double hot_share = 0;
    sim_time hot_shift{};
    /// Mean time between engine crashes in the pool; 0: none.
    sim_time crash_interval{};
    /// 0: never.
    sim_time herd_restart_at{};
    sim_time zone_loss_at{};
};

/// Reads a description and applies the overrides of `[scenario.<scenario>]`.
/// Throws `std::runtime_error` if the file or the scenario is missing.
workload load_workload(std::string const& path, std::string const& scenario);

/// The scenarios of a description, sorted.
std::vector<std::string> scenario_names(std::string const& path);

} // namespace endiveward::bench

#endif
