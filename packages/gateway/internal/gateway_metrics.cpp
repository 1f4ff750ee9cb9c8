#include "gateway/gateway_metrics.hpp"

#include <prometheus/registry.h>

namespace endiveward::gateway
{

namespace
{

prometheus::Family<prometheus::Counter>&
counters(prometheus::Registry& registry, std::string const& name,
         std::string const& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Histogram& latency(prometheus::Registry& registry,
                               std::string const& name, std::string const& help)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({}, prometheus::Histogram::BucketBoundaries{
                     0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1, 2, 5, 15});
}

double seconds(std::chrono::milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

gateway_metrics::gateway_metrics(prometheus::Registry& registry)
    : requests_(counters(registry, "endiveward_gateway_requests_total",
                         "Requests by how they ended"))
    , retries_(counters(registry, "endiveward_gateway_repeats_total",
                        "Requests sent to another endpoint, by reason"))
    , leaving_(counters(registry, "endiveward_gateway_leaving_endpoints_total",
                        "Endpoints that announced their exit, by source"))
    , displaced_(counters(registry,
                          "endiveward_gateway_displaced_callers_total",
                          "Connections of callers that were closed, or whose "
                          "request was refused, for the sake of others, by "
                          "what they did"))
    , taken_up_(counters(registry, "endiveward_gateway_taken_up_streams_total",
                         "Streams that callers take up, by how it became known "
                         "where they began"))
    , room_left_(counters(registry, "endiveward_gateway_room_left_total",
                          "Requests that waited for capacity, by outcome"))
    , room_refusals_(
          counters(registry, "endiveward_gateway_room_refusals_total",
                   "Requests refused for lack of capacity, by reason"))
    , mixed_(counters(registry, "endiveward_gateway_mixed_prompts_total",
                      "Prompts by length and endpoint: long or short, at an "
                      "endpoint for this kind or for the other"))
    , retries_denied_(
          counters(registry, "endiveward_gateway_repeats_denied_total",
                   "Requests that were not sent to another endpoint since the "
                   "retry budget was used up")
              .Add({}))
    , pauses_(counters(registry, "endiveward_gateway_endpoint_pauses_total",
                       "Pauses that endpoints asked for with Retry-After")
                  .Add({}))
    , quarantines_(counters(registry,
                            "endiveward_gateway_part_quarantines_total",
                            "Quarantines of prompt parts that probably crash "
                            "endpoints, and their extensions")
                       .Add({}))
    , request_quarantines_(
          counters(registry, "endiveward_gateway_request_quarantines_total",
                   "Quarantines of requests that probably crash endpoints, and "
                   "their extensions")
              .Add({}))
    , attempts_(counters(registry, "endiveward_gateway_attempts_total",
                         "Requests sent to endpoints")
                    .Add({}))
    , over_limit_(counters(registry, "endiveward_gateway_over_limit_total",
                           "Requests refused since their workspace was over "
                           "its limit")
                      .Add({}))
    , limited_use_(counters(registry, "endiveward_gateway_limited_use_total",
                            "Use counted for workspaces with a limit")
                       .Add({}))
    , limit_share_(prometheus::BuildGauge()
                       .Name("endiveward_gateway_limit_share")
                       .Help("Share of workspaces' limits that this router "
                             "may use")
                       .Register(registry)
                       .Add({}, 1))
    , speed_samples_(counters(registry,
                              "endiveward_gateway_speed_samples_total",
                              "Answers from which the speed of an endpoint "
                              "was learned")
                         .Add({}))
    , work_figures_ignored_(
          counters(registry, "endiveward_gateway_work_figures_ignored_total",
                   "Unreadable fourth numbers of the load field")
              .Add({}))
    , speeds_(prometheus::BuildGauge()
                  .Name("endiveward_gateway_endpoint_speed")
                  .Help("Learned factors to the nominal speed of a service's "
                        "endpoints: the slowest, the mean, the fastest")
                  .Register(registry))
    , prompt_tokens_(counters(registry,
                              "endiveward_gateway_prompt_tokens_total",
                              "Tokens of the prompts sent to engines")
                         .Add({}))
    , uncached_tokens_(
          counters(registry, "endiveward_gateway_uncached_tokens_total",
                   "Prompt tokens that were expected not to be cached")
              .Add({}))
    , duration_(latency(registry, "endiveward_gateway_request_seconds",
                        "Time from a request to the end of its answer"))
    , first_byte_(latency(registry, "endiveward_gateway_first_byte_seconds",
                          "Time from a request to the begin of its answer"))
    , room_wait_(latency(registry, "endiveward_gateway_room_wait_seconds",
                         "Time for which requests waited for capacity"))
    , room_waiting_(prometheus::BuildGauge()
                        .Name("endiveward_gateway_room_waiting")
                        .Help("Requests that wait for capacity")
                        .Register(registry)
                        .Add({}))
    , long_first_byte_(
          latency(registry, "endiveward_gateway_long_prompt_first_byte_seconds",
                  "The same for streams whose prompts count as long"))
{
}

void gateway_metrics::on_request_end(std::string const& outcome,
                                     std::chrono::milliseconds took)
{
    requests_.Add({{"outcome", outcome}}).Increment();
    duration_.Observe(seconds(took));
}

void gateway_metrics::on_first_byte(std::chrono::milliseconds took,
                                    bool is_long)
{
    first_byte_.Observe(seconds(took));
    if (is_long)
        long_first_byte_.Observe(seconds(took));
}

void gateway_metrics::on_retry(std::string const& reason)
{
    retries_.Add({{"reason", reason}}).Increment();
}

void gateway_metrics::on_displaced(std::string const& activity)
{
    displaced_.Add({{"activity", activity}}).Increment();
}

void gateway_metrics::on_leaving(std::string const& source)
{
    leaving_.Add({{"source", source}}).Increment();
}

void gateway_metrics::on_taken_up(std::string const& source)
{
    taken_up_.Add({{"source", source}}).Increment();
}

void gateway_metrics::set_speeds(std::string const& service, double slowest,
                                 double mean, double fastest)
{
    speeds_.Add({{"service", service}, {"of", "slowest"}}).Set(slowest);
    speeds_.Add({{"service", service}, {"of", "mean"}}).Set(mean);
    speeds_.Add({{"service", service}, {"of", "fastest"}}).Set(fastest);
}

void gateway_metrics::on_room_left(std::string const& outcome,
                                   std::chrono::milliseconds waited)
{
    room_left_.Add({{"outcome", outcome}}).Increment();
    room_wait_.Observe(seconds(waited));
}

void gateway_metrics::on_room_refusal(std::string const& reason)
{
    room_refusals_.Add({{"reason", reason}}).Increment();
}

void gateway_metrics::set_room_waiting(std::size_t number)
{
    room_waiting_.Set(static_cast<double>(number));
}

void gateway_metrics::on_mixed(std::string_view placement)
{
    mixed_.Add({{"placement", std::string(placement)}}).Increment();
}

void gateway_metrics::on_prompt(std::uint32_t tokens,
                                std::uint32_t expected_uncached)
{
    prompt_tokens_.Increment(tokens);
    uncached_tokens_.Increment(expected_uncached);
}

} // namespace endiveward::gateway
