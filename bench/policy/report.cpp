#include "policy/report.hpp"

#include <fmt/format.h>

namespace endiveward::bench
{

namespace
{

constexpr double mebibyte = 1024.0 * 1024.0;

double wasted_mib(run_result const& res)
{
    return static_cast<double>(res.wasted_bytes) / mebibyte;
}

} // namespace

std::string to_table(std::vector<report_row> const& rows)
{
    std::string out = fmt::format(
        "{:<11} {:<14} {:>5} {:<20} {:>8} {:>9} {:>8} {:>8} {:>8} {:>8} "
        "{:>7} {:>6} {:>5} {:>8}\n",
        "workload", "scenario", "seed", "policy", "hit rate", "waste MiB",
        "p50 ms", "p95 ms", "p99 ms", "good/s", "refused", "late", "lost",
        "attempts");
    for (auto const& it : rows)
    {
        auto const& res = it.result;
        out += fmt::format(
            "{:<11} {:<14} {:>5} {:<20} {:>8.4f} {:>9.1f} {:>8.1f} {:>8.1f} "
            "{:>8.1f} {:>8.2f} {:>7} {:>6} {:>5} {:>8.3f}\n",
            it.workload, it.scenario, it.seed, to_string(it.policy),
            res.hit_rate(), wasted_mib(res), res.ttft_percentile(0.5),
            res.ttft_percentile(0.95), res.ttft_percentile(0.99), res.goodput(),
            res.refused, res.late, res.lost, res.attempts_per_request());
    }
    return out;
}

std::string to_csv(std::vector<report_row> const& rows)
{
    std::string out =
        "workload,scenario,seed,policy,requests,hit_rate,wasted_bytes,"
        "computed_bytes,ttft_p50_ms,ttft_p95_ms,ttft_p99_ms,goodput_per_s,"
        "refused,late,lost,attempts_per_request\n";
    for (auto const& it : rows)
    {
        auto const& res = it.result;
        out += fmt::format(
            "{},{},{},{},{},{:.5f},{},{},{:.2f},{:.2f},{:.2f},"
            "{:.3f},{},{},{},{:.4f}\n",
            it.workload, it.scenario, it.seed, to_string(it.policy),
            res.requests, res.hit_rate(), res.wasted_bytes, res.computed_bytes,
            res.ttft_percentile(0.5), res.ttft_percentile(0.95),
            res.ttft_percentile(0.99), res.goodput(), res.refused, res.late,
            res.lost, res.attempts_per_request());
    }
    return out;
}

std::string to_trace_csv(std::vector<report_row> const& rows)
{
    std::string out =
        "workload,scenario,seed,policy,arrival_ms,worker,attempts,ttft_ms,"
        "wait_ms,prefix_bytes,hit_bytes,expected_hit_bytes,expected_wait_ms,"
        "chosen_wait_ms,chosen_hit_bytes,best_worker,best_hit_bytes,"
        "best_wait_ms\n";
    for (auto const& row : rows)
        for (auto const& it : row.result.traces)
            out += fmt::format(
                "{},{},{},{},{:.1f},{},{},{:.1f},{:.1f},{},{},{},{:.1f},"
                "{:.1f},{},{},{},{:.1f}\n",
                row.workload, row.scenario, row.seed, to_string(row.policy),
                it.arrival_ms, it.worker, it.attempts, it.ttft_ms, it.wait_ms,
                it.prefix_bytes, it.hit_bytes, it.expected_hit_bytes,
                it.expected_wait_ms, it.chosen_wait_ms, it.chosen_hit_bytes,
                it.best_worker, it.best_hit_bytes, it.best_wait_ms);
    return out;
}

} // namespace endiveward::bench
