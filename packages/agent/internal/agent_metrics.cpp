#include "agent/internal/agent_metrics.hpp"

#include "wire/types/wire_counters.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <string>
#include <utility>

namespace endiveward::agent
{

namespace
{

std::string full_name(char const* name)
{
    return std::string("endiveward_agent_") + name;
}

prometheus::Family<prometheus::Counter>&
make_family(prometheus::Registry& registry, char const* name, char const* help)
{
    return prometheus::BuildCounter()
        .Name(full_name(name))
        .Help(help)
        .Register(registry);
}

prometheus::Counter& make_counter(prometheus::Registry& registry,
                                  char const* name, char const* help)
{
    return make_family(registry, name, help).Add({});
}

prometheus::Gauge& make_gauge(prometheus::Registry& registry, char const* name,
                              char const* help)
{
    return prometheus::BuildGauge()
        .Name(full_name(name))
        .Help(help)
        .Register(registry)
        .Add({});
}

void raise_to(prometheus::Counter& counter, std::uint64_t value)
{
    counter.Increment(static_cast<double>(value) - counter.Value());
}

std::string label_of(wire::call_outcome outcome)
{
    switch (outcome)
    {
    case wire::call_outcome::complete:
        return "complete";
    case wire::call_outcome::cancelled:
        return "cancelled";
    case wire::call_outcome::failed:
        break;
    }
    return "failed";
}

} // namespace

agent_metrics::agent_metrics(std::shared_ptr<prometheus::Registry> registry)
    : registry_(std::move(registry))
    , ends_(make_family(*registry_, "calls_total",
                        "Admitted calls that ended, by outcome."))
    , refusals_(make_family(*registry_, "refusals_total",
                            "Calls refused by their verdict, by code."))
    , wire_bytes_(make_family(*registry_, "wire_bytes_total",
                              "Bytes of frames, by kind and direction."))
    , wire_events_(make_family(*registry_, "wire_events_total",
                               "Connections and frames, by event."))
    , resumes(make_counter(*registry_, "resumes_total",
                           "Streams continued on another connection."))
    , duplicate_invokes(make_counter(*registry_, "duplicate_invokes_total",
                                     "Invokes of a known stream id."))
    , dropped_messages(make_counter(*registry_, "dropped_messages_total",
                                    "Messages for unknown calls."))
    , orphans_cancelled(
          make_counter(*registry_, "orphans_cancelled_total",
                       "Calls cancelled because no router resumed them."))
    , orphans_continued(
          make_counter(*registry_, "orphans_continued_total",
                       "Non-idempotent calls that went on without a router."))
    , orders(make_counter(*registry_, "orders_total",
                          "Orders sent to the engine, repetitions included."))
    , order_failures(make_counter(*registry_, "order_failures_total",
                                  "Orders refused or without an answer."))
    , replayed_answers(make_counter(*registry_, "replayed_answers_total",
                                    "Stored answers of keyed calls returned."))
    , prompt_bytes(make_counter(*registry_, "prompt_bytes_total",
                                "Prompt bytes of complete calls."))
    , cached_bytes(make_counter(*registry_, "cached_bytes_total",
                                "Prompt bytes that the engine had cached."))
    , cache_relistings(make_counter(*registry_, "cache_relistings_total",
                                    "Listings of the engine's cache read."))
    , cache_events(make_counter(*registry_, "cache_events_total",
                                "Cache events received from the engine."))
    , cache_blocks_left_out(
          make_counter(*registry_, "cache_blocks_left_out_total",
                       "Blocks not kept because the cache index was full."))
    , claims_deleted(make_counter(*registry_, "claims_deleted_total",
                                  "Claim rows deleted after retention."))
    , running(make_gauge(*registry_, "running_calls",
                         "Calls that occupy a place at the endpoint."))
    , queued(make_gauge(*registry_, "queued_calls", "Calls that wait."))
    , capacity(make_gauge(*registry_, "capacity_calls",
                          "Calls that the endpoint runs at once."))
    , connections(make_gauge(*registry_, "connections", "Open connections."))
    , endpoint_up(make_gauge(*registry_, "endpoint_up",
                             "1 if the endpoint answered the last poll."))
    , draining(make_gauge(*registry_, "draining", "1 while draining."))
    , cache_blocks(
          make_gauge(*registry_, "cache_blocks", "Blocks in the cache index."))
{
}

void agent_metrics::count_end(wire::call_outcome outcome)
{
    ends_.Add({{"outcome", label_of(outcome)}}).Increment();
}

void agent_metrics::count_refusal(kernel::error_kind kind)
{
    refusals_.Add({{"code", std::string(kernel::to_string(kind))}}).Increment();
}

void agent_metrics::collect(wire::wire_counters const& counters)
{
    auto const bytes =
        [this](char const* kind, char const* direction, std::uint64_t value)
    {
        raise_to(wire_bytes_.Add({{"kind", kind}, {"direction", direction}}),
                 value);
    };
    bytes("call", "sent", counters.call_bytes_sent);
    bytes("call", "received", counters.call_bytes_received);
    bytes("control", "sent", counters.control_bytes_sent);
    bytes("control", "received", counters.control_bytes_received);
    auto const events = [this](char const* event, std::uint64_t value) {
        raise_to(wire_events_.Add({{"event", event}}), value);
    };
    events("connection_opened", counters.connections_opened);
    events("connection_closed", counters.connections_closed);
    events("handshake_failed", counters.handshakes_failed);
    events("frame_rejected", counters.frames_rejected);
}

} // namespace endiveward::agent
