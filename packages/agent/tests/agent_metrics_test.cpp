#include "agent/internal/agent_metrics.hpp"

#include "wire/types/wire_counters.hpp"

#include <catch2/catch.hpp>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace endiveward::agent
{

// Guards against counting traffic twice when the counters are collected
// repeatedly.
TEST_CASE("wire counters are published with their current values")
{
    auto const registry = std::make_shared<prometheus::Registry>();
    agent_metrics metrics(registry);
    wire::wire_counters counters;
    counters.call_bytes_sent = 3;
    metrics.collect(counters);
    counters.call_bytes_sent = 7;
    counters.frames_rejected = 2;
    metrics.collect(counters);
    metrics.collect(counters);
    auto const text =
        prometheus::TextSerializer().Serialize(registry->Collect());
    CAPTURE(text);
    CHECK(text.find("endiveward_agent_wire_bytes_total{direction=\"sent\","
                    "kind=\"call\"} 7") != std::string::npos);
    CHECK(text.find("endiveward_agent_wire_events_total{event="
                    "\"frame_rejected\"} 2") != std::string::npos);
}

} // namespace endiveward::agent
