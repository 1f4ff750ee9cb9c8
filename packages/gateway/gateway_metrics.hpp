#ifndef ENDIVEWARD_GATEWAY_GATEWAY_METRICS_HPP
#define ENDIVEWARD_GATEWAY_GATEWAY_METRICS_HPP

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace prometheus
{
class Registry;
}

namespace endiveward::gateway
{

/// Counters and latency histograms of the gateway.
class gateway_metrics
{
public:
    explicit gateway_metrics(prometheus::Registry& registry);

    /// `outcome` is the status class of the response, such as `2xx`, or how the
    /// request ended otherwise.
    void on_request_end(std::string const& outcome,
                        std::chrono::milliseconds took);
    /// `is_long` tells whether `prompt_mix` counts the prompt as long.
    void on_first_byte(std::chrono::milliseconds took, bool is_long = false);
    void on_attempt() { attempts_.Increment(); }
    void on_retry(std::string const& reason);
    void on_retry_denied() { retries_denied_.Increment(); }
    /// A caller's connection has given way to others.
    void on_displaced(std::string const& activity);
    /// `source` tells who reported that an endpoint is leaving.
    void on_leaving(std::string const& source);
    /// `source` tells how it became known where a stream that a caller takes up
    /// began.
    void on_taken_up(std::string const& source);
    /// A request that waited for capacity has been sent or refused, or has
    /// left.
    void on_room_left(std::string const& outcome,
                      std::chrono::milliseconds waited);
    void on_room_refusal(std::string const& reason);
    void set_room_waiting(std::size_t number);
    void on_pause() { pauses_.Increment(); }
    void on_part_quarantined() { quarantines_.Increment(); }
    void on_request_quarantined() { request_quarantines_.Increment(); }
    void on_over_limit() { over_limit_.Increment(); }
    void on_limited_use(double amount) { limited_use_.Increment(amount); }
    /// Share of the limits of workspaces that this router uses.
    void set_limit_share(double share) { limit_share_.Set(share); }
    void on_speed_sample() { speed_samples_.Increment(); }
    void on_work_figure_ignored() { work_figures_ignored_.Increment(); }
    /// Factors of a service's endpoints to the nominal speed.
    void set_speeds(std::string const& service, double slowest, double mean,
                    double fastest);
    void on_prompt(std::uint32_t tokens, std::uint32_t expected_uncached);
    /// `placement` is one of the texts of `prompt_mix::describe`.
    void on_mixed(std::string_view placement);

private:
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& retries_;
    prometheus::Family<prometheus::Counter>& leaving_;
    prometheus::Family<prometheus::Counter>& displaced_;
    prometheus::Family<prometheus::Counter>& taken_up_;
    prometheus::Family<prometheus::Counter>& room_left_;
    prometheus::Family<prometheus::Counter>& room_refusals_;
    prometheus::Family<prometheus::Counter>& mixed_;
    prometheus::Counter& retries_denied_;
    prometheus::Counter& pauses_;
    prometheus::Counter& quarantines_;
    prometheus::Counter& request_quarantines_;
    prometheus::Counter& attempts_;
    prometheus::Counter& over_limit_;
    prometheus::Counter& limited_use_;
    prometheus::Gauge& limit_share_;
    prometheus::Counter& speed_samples_;
    prometheus::Counter& work_figures_ignored_;
    prometheus::Family<prometheus::Gauge>& speeds_;
    prometheus::Counter& prompt_tokens_;
    prometheus::Counter& uncached_tokens_;
    prometheus::Histogram& duration_;
    prometheus::Histogram& first_byte_;
    prometheus::Histogram& room_wait_;
    prometheus::Gauge& room_waiting_;
    prometheus::Histogram& long_first_byte_;
};

} // namespace endiveward::gateway

#endif
