#include "router/router_metrics.hpp"

#include "wire/types/wire_counters.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <mutex>
#include <string>

namespace endiveward::router
{

namespace
{

using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;

Counter& make_counter(prometheus::Registry& registry, std::string const& name,
                      std::string const& help,
                      prometheus::Labels const& labels = {})
{
    return prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add(labels);
}

Gauge& make_gauge(prometheus::Registry& registry, std::string const& name,
                  std::string const& help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

// The target is 0.9 s for 95% of the requests, so 0.9 is a bucket boundary.
Histogram::BucketBoundaries first_token_buckets()
{
    return {0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45,
            0.6,  0.9,   1.2,  2,   5,   10,  30};
}

void increment_to(Counter& counter, std::uint64_t total)
{
    auto const step = static_cast<double>(total) - counter.Value();
    if (step > 0)
        counter.Increment(step);
}

} // namespace

class router_metrics::impl
{
public:
    explicit impl(std::shared_ptr<prometheus::Registry> registry)
        : registry_(std::move(registry))
        , requests_(prometheus::BuildCounter()
                        .Name("endiveward_requests_total")
                        .Help("Requests of callers by result code.")
                        .Register(*registry_))
        , first_token_(prometheus::BuildHistogram()
                           .Name("endiveward_time_to_first_token_seconds")
                           .Help("Time from a request to its first event.")
                           .Register(*registry_)
                           .Add({}, first_token_buckets()))
        , hit_rate_(make_gauge(*registry_, "endiveward_prefix_hit_rate",
                               "Cached share of all prompt bytes since the "
                               "start."))
        , open_agents_(make_gauge(*registry_, "endiveward_agent_connections",
                                  "Open connections to agents."))
        , calls_(
              make_gauge(*registry_, "endiveward_calls", "Calls in progress."))
        , store_up_(prometheus::BuildGauge()
                        .Name("endiveward_store_up")
                        .Help("1 if the platform's table answered the last "
                              "read of the configuration, else 0.")
                        .Register(*registry_))
        , config_version_(make_gauge(*registry_, "endiveward_config_version",
                                     "Configuration version in force."))
        , updates_sent_(counter("endiveward_config_updates_sent_total",
                                "Configuration updates pushed to agents and "
                                "routers."))
        , recomputed_(counter("endiveward_recomputed_bytes_total",
                              "Prompt bytes not found in a cache."))
        , prompt_(counter("endiveward_prompt_bytes_total", "Prompt bytes."))
        , cached_(counter("endiveward_cached_bytes_total",
                          "Prompt bytes found in a cache."))
        , retries_(counter("endiveward_retries_total",
                           "Invocations after the first of a request."))
        , resumes_(counter("endiveward_resumes_total", "Streams resumed."))
        , dropped_(counter("endiveward_dropped_messages_total",
                           "Late, repeated or unknown messages of calls."))
        , opened_(counter("endiveward_wire_connections_opened_total",
                          "Wire connections opened."))
        , closed_(counter("endiveward_wire_connections_closed_total",
                          "Wire connections closed."))
        , handshakes_(counter("endiveward_wire_handshakes_failed_total",
                              "Wire handshakes that failed."))
        , rejected_(counter("endiveward_wire_frames_rejected_total",
                            "Wire frames with a wrong tag, number or size."))
        , call_sent_(wire_bytes("call", "sent"))
        , call_received_(wire_bytes("call", "received"))
        , control_sent_(wire_bytes("control", "sent"))
        , control_received_(wire_bytes("control", "received"))
    {
    }

    void on_prompt(std::uint64_t prompt_bytes, std::uint64_t cached_bytes)
    {
        auto const cached = std::min(cached_bytes, prompt_bytes);
        prompt_.Increment(static_cast<double>(prompt_bytes));
        cached_.Increment(static_cast<double>(cached));
        recomputed_.Increment(static_cast<double>(prompt_bytes - cached));
        if (prompt_.Value() > 0)
            hit_rate_.Set(cached_.Value() / prompt_.Value());
    }

    void on_response(std::string_view code)
    {
        requests_.Add({{"code", std::string(code)}}).Increment();
    }

    void collect(wire::wire_counters const& counters)
    {
        std::lock_guard const lock(collect_mutex_);
        increment_to(opened_, counters.connections_opened);
        increment_to(closed_, counters.connections_closed);
        increment_to(handshakes_, counters.handshakes_failed);
        increment_to(rejected_, counters.frames_rejected);
        increment_to(call_sent_, counters.call_bytes_sent);
        increment_to(call_received_, counters.call_bytes_received);
        increment_to(control_sent_, counters.control_bytes_sent);
        increment_to(control_received_, counters.control_bytes_received);
    }

private:
    Counter& counter(std::string const& name, std::string const& help)
    {
        return make_counter(*registry_, name, help);
    }

    Counter& wire_bytes(std::string const& kind, std::string const& direction)
    {
        return make_counter(*registry_, "endiveward_wire_bytes_total",
                            "Bytes of wire frames.",
                            {{"kind", kind}, {"direction", direction}});
    }

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<Counter>& requests_;

public:
    Histogram& first_token_;
    Gauge& hit_rate_;
    Gauge& open_agents_;
    Gauge& calls_;
    prometheus::Family<Gauge>& store_up_;
    Gauge& config_version_;
    Counter& updates_sent_;
    Counter& recomputed_;
    Counter& prompt_;
    Counter& cached_;
    Counter& retries_;
    Counter& resumes_;
    Counter& dropped_;

private:
    Counter& opened_;
    Counter& closed_;
    Counter& handshakes_;
    Counter& rejected_;
    Counter& call_sent_;
    Counter& call_received_;
    Counter& control_sent_;
    Counter& control_received_;
    std::mutex collect_mutex_;
};

router_metrics::router_metrics(std::shared_ptr<prometheus::Registry> registry)
    : impl_(std::make_unique<impl>(std::move(registry)))
{
}

router_metrics::~router_metrics() = default;

void router_metrics::on_prompt(std::uint64_t prompt_bytes,
                               std::uint64_t cached_bytes)
{
    impl_->on_prompt(prompt_bytes, cached_bytes);
}

void router_metrics::on_first_chunk(std::chrono::nanoseconds since_arrival)
{
    impl_->first_token_.Observe(
        std::chrono::duration<double>(since_arrival).count());
}

void router_metrics::on_response(std::string_view code)
{
    impl_->on_response(code);
}

void router_metrics::on_retry()
{
    impl_->retries_.Increment();
}

void router_metrics::on_resume()
{
    impl_->resumes_.Increment();
}

void router_metrics::on_dropped(std::size_t count)
{
    impl_->dropped_.Increment(static_cast<double>(count));
}

void router_metrics::set_open_agents(std::size_t count)
{
    impl_->open_agents_.Set(static_cast<double>(count));
}

void router_metrics::set_calls(std::size_t count)
{
    impl_->calls_.Set(static_cast<double>(count));
}

void router_metrics::set_store_up(bool up)
{
    impl_->store_up_.Add({}).Set(up ? 1 : 0);
}

void router_metrics::set_config_version(std::uint64_t version)
{
    impl_->config_version_.Set(static_cast<double>(version));
}

void router_metrics::on_config_update_sent()
{
    impl_->updates_sent_.Increment();
}

void router_metrics::collect(wire::wire_counters const& counters)
{
    impl_->collect(counters);
}

} // namespace endiveward::router
