#ifndef ENDIVEWARD_BENCH_POLICY_TRACE_HPP
#define ENDIVEWARD_BENCH_POLICY_TRACE_HPP

#include "policy/workload.hpp"
#include "wire/types/prefix_level.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace endiveward::bench
{

/// A request of the trace.
struct request_spec
{
    sim_time arrival{};
    std::size_t router = 0;
    std::vector<wire::prefix_level> levels;
    /// Identities of all whole blocks of the prompt, in order.
    std::vector<std::uint64_t> blocks;
    std::uint64_t prompt_bytes = 0;
    std::chrono::milliseconds decode{0};
    std::chrono::milliseconds deadline{0};
    std::uint8_t priority = 0;
};

struct crash_spec
{
    sim_time at{};
    std::size_t worker = 0;
};

/// Requests and crashes of a run, the same for every policy.
struct trace
{
    std::vector<request_spec> requests;
    std::vector<crash_spec> crashes;
};

trace make_trace(workload const& load, std::uint64_t seed);

} // namespace endiveward::bench

#endif
