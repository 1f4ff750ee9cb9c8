#ifndef ENDIVEWARD_AGENT_AGENT_METRICS_HPP
#define ENDIVEWARD_AGENT_AGENT_METRICS_HPP

#include "kernel/types/error_kind.hpp"
#include "wire/types/call_outcome.hpp"

#include <memory>

namespace prometheus
{
class Counter;
class Gauge;
class Registry;
template <typename T>
class Family;
} // namespace prometheus

namespace endiveward::wire
{
struct wire_counters;
}

namespace endiveward::agent
{

/// Prometheus metrics of the agent; all names start with `endiveward_agent_`.
class agent_metrics
{
public:
    explicit agent_metrics(std::shared_ptr<prometheus::Registry> registry);

    void count_end(wire::call_outcome outcome);
    void count_refusal(kernel::error_kind kind);
    /// Advances the wire metrics to the current values of `counters`.
    void collect(wire::wire_counters const& counters);

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& ends_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& wire_bytes_;
    prometheus::Family<prometheus::Counter>& wire_events_;

public:
    prometheus::Counter& resumes;
    prometheus::Counter& duplicate_invokes;
    prometheus::Counter& dropped_messages;
    prometheus::Counter& orphans_cancelled;
    prometheus::Counter& orphans_continued;
    prometheus::Counter& orders;
    prometheus::Counter& order_failures;
    prometheus::Counter& replayed_answers;
    prometheus::Counter& prompt_bytes;
    prometheus::Counter& cached_bytes;
    prometheus::Counter& cache_relistings;
    prometheus::Counter& cache_events;
    prometheus::Counter& cache_blocks_left_out;
    prometheus::Counter& claims_deleted;
    prometheus::Gauge& running;
    prometheus::Gauge& queued;
    prometheus::Gauge& capacity;
    prometheus::Gauge& connections;
    prometheus::Gauge& endpoint_up;
    prometheus::Gauge& draining;
    prometheus::Gauge& cache_blocks;
};

} // namespace endiveward::agent

#endif
