#ifndef ENDIVEWARD_GATEWAY_ENDPOINT_RECORD_HPP
#define ENDIVEWARD_GATEWAY_ENDPOINT_RECORD_HPP

#include "availability/endpoint_pause.hpp"
#include "availability/request_limit.hpp"
#include "gateway/endpoint_speed.hpp"
#include "gateway/prefix_cache_estimate.hpp"
#include "gateway/prompt_demand.hpp"
#include "gateway/types/endpoint_entry.hpp"
#include "gateway/types/load_sample.hpp"
#include "kernel/i_clock.hpp"
#include "wire/types/cache_change.hpp"
#include "wire/types/engine_state.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace endiveward::gateway
{

/// The resources that one request takes at an endpoint.
struct request_footprint
{
    /// Prompt tokens that are not cached there.
    std::uint32_t uncached_tokens = 0;
    /// KV cache memory for prompt and output.
    std::uint32_t memory_tokens = 0;
    /// Whether `prompt_mix` counts the prompt as long.
    bool is_long = false;
};

/// The state of one endpoint as estimated by this process from its own
/// requests, their responses and the reports of the endpoint's agent.
class endpoint_record
{
public:
    /// `seed` should differ between processes and endpoints.
    explicit endpoint_record(endpoint_entry entry, std::uint64_t seed = 0);

    endpoint_entry const& entry() const { return entry_; }
    /// Replaces the entry by a newer one. A restart of the endpoint resets the
    /// estimates. Returns false if the entry is of an earlier incarnation and
    /// therefore ignored.
    bool update(endpoint_entry entry);

    void on_sent(request_footprint const& footprint, kernel::steady_time now);
    /// The first byte of a response arrived.
    void on_response_started(request_footprint const& footprint,
                             kernel::steady_time now);
    void on_bytes(kernel::steady_time now) { last_bytes_ = now; }
    /// The request has ended. `answered` is true if a response had begun.
    void on_finished(request_footprint const& footprint, bool answered);
    void on_load(load_sample const& sample) { load_ = sample; }
    /// Applies a state report of the agent on the endpoint's VM.
    void on_state(wire::engine_state const& state, kernel::steady_time now);
    void on_cache(wire::cache_change const& change);
    /// The connection to the agent is lost.
    void on_link_lost();
    /// Whether the endpoint's agent is connected and reports changes.
    bool linked() const { return linked_; }
    bool reloading() const { return linked_ && reloading_; }
    /// The agent does not reach the endpoint, or has reported an incarnation
    /// newer than that of the entry; the restarted endpoint may have another
    /// id.
    bool unreachable_or_restarted() const
    {
        return linked_ && (unreachable_ || restarted());
    }
    /// The agent has reported an incarnation newer than that of the entry,
    /// whose other data may be wrong.
    bool restarted() const
    {
        return linked_ && latest_incarnation_ > entry_.incarnation;
    }
    void on_success(kernel::steady_time now);
    /// The endpoint returned an error.
    void on_error(kernel::steady_time now);
    /// The endpoint could not be connected to or did not respond.
    void on_no_response(kernel::steady_time now);
    /// The endpoint refused a request without running it. It gets no requests
    /// for the duration of `pause`.
    void on_refusal(kernel::steady_time now, std::chrono::milliseconds pause);
    /// The endpoint refused a request because its weights are older than
    /// expected. The newer version is requested from it again after `pause`.
    void on_outdated_weights(kernel::steady_time now,
                             std::chrono::milliseconds pause)
    {
        outdated_until_ = now + pause;
    }
    bool has_outdated_weights(kernel::steady_time now) const
    {
        return now < outdated_until_;
    }
    /// The endpoint asked this process for no requests for `requested`. Returns
    /// true if no such pause was in force.
    bool on_pause(kernel::steady_time now, std::chrono::milliseconds requested)
    {
        return pause_.begin(now, requested);
    }
    bool paused(kernel::steady_time now) const
    {
        return pause_.paused_until(now).has_value();
    }
    /// The limit of requests that the endpoint names.
    availability::request_limit& limit() { return limit_; }
    availability::request_limit const& limit() const { return limit_; }
    endpoint_speed& speed() { return speed_; }
    endpoint_speed const& speed() const { return speed_; }
    /// An answer of the endpoint said that it is going to exit.
    void on_leaving() { leaving_ = true; }
    /// Whether the endpoint is going to exit, as announced to this process,
    /// which only a newer incarnation ends, or to its agent.
    bool leaving() const { return leaving_ || reported_leaving_; }
    /// Changes when the endpoint has restarted, so that late answers of an
    /// earlier incarnation can be told apart.
    std::uint64_t generation() const { return generation_; }
    /// The address now belongs to another endpoint.
    void mark_replaced() { replaced_ = true; }

    weights::weight_version version_of(kernel::model_id const& model) const;
    /// Sets the model version that the endpoint serves. A change of the version
    /// clears the cache estimate.
    void set_version(kernel::model_id const& model,
                     weights::weight_version version);

    /// Whether requests may be sent to the endpoint.
    bool available(kernel::steady_time now) const;
    /// Whether other engines may fetch KV cache from the endpoint. A pause is
    /// for requests only.
    bool can_serve_cache(kernel::steady_time now) const;
    /// Whether a request that waits for its connection must not be sent any
    /// more.
    bool refuses_requests(kernel::steady_time now) const
    {
        return replaced_ || leaving() || paused(now);
    }
    /// When requests may be sent to the endpoint again: no value if they may be
    /// sent now or the end is unknown but near; `steady_time::max()` if never
    /// in this incarnation.
    std::optional<kernel::steady_time>
    unusable_until(kernel::steady_time now) const;
    /// The end of the time in which only a limit that the endpoint names keeps
    /// requests from it; no value if there is no such time.
    std::optional<kernel::steady_time>
    limited_until(kernel::steady_time now) const;
    /// Whether requests are waiting for a response, and the endpoint has sent
    /// no output to any process within the stall limit, as far as known, or its
    /// agent cannot reach it.
    bool stalled(kernel::steady_time now) const;
    /// Whether the endpoint has sent output, to any process as far as known,
    /// after this time.
    bool has_sent_since(kernel::steady_time at) const
    {
        return last_bytes_ > at;
    }
    /// Fraction of recent requests that failed, from 0 to 1.
    double failure_rate(kernel::steady_time now) const;

    std::uint32_t in_flight() const { return in_flight_; }
    std::uint32_t unanswered() const { return unanswered_; }
    std::uint64_t pending_tokens() const { return pending_tokens_; }
    std::uint64_t memory_tokens() const { return memory_tokens_; }
    /// What this process has sent since the agent's last report.
    request_footprint const& sent_since_report() const
    {
        return sent_since_report_;
    }
    /// The time of the last load report.
    std::optional<kernel::steady_time> reported_at() const
    {
        return load_ ? std::optional(load_->at) : std::nullopt;
    }
    /// Estimated number of requests of other processes at the endpoint, based
    /// on the last load report.
    double external_requests(kernel::steady_time now) const;
    /// Estimated number of requests of other processes that have no output yet.
    double external_unanswered(kernel::steady_time now) const;
    /// KV cache tokens held for requests of other processes, from the agent's
    /// last report.
    std::uint64_t external_memory() const { return external_memory_; }
    prompt_demand const& demand() const { return demand_; }
    prefix_cache_estimate& cache() { return cache_; }
    prefix_cache_estimate const& cache() const { return cache_; }

private:
    void record_result(bool failed, kernel::steady_time now);

    endpoint_entry entry_;
    prefix_cache_estimate cache_;
    prompt_demand demand_;
    std::optional<load_sample> load_;
    std::uint32_t in_flight_ = 0;
    std::uint32_t unanswered_ = 0;
    std::uint64_t pending_tokens_ = 0;
    std::uint64_t memory_tokens_ = 0;
    request_footprint sent_since_report_;
    kernel::steady_time last_bytes_{};
    kernel::steady_time waiting_since_{};
    kernel::steady_time avoided_until_{};
    availability::endpoint_pause pause_;
    availability::request_limit limit_;
    endpoint_speed speed_;
    kernel::steady_time outdated_until_{};
    std::chrono::milliseconds backoff_{0};
    double failures_ = 0;
    double results_ = 0;
    kernel::steady_time results_updated_at_{};
    std::uint64_t external_memory_ = 0;
    std::uint32_t external_unanswered_ = 0;
    /// The agent reports weights only when they have changed.
    std::vector<wire::model_weights> reported_weights_;
    /// The last value of `engine_state::progress`.
    std::uint64_t progress_ = 0;
    std::uint64_t generation_ = 0;
    bool leaving_ = false;
    /// The last value of `engine_state::leaving`.
    bool reported_leaving_ = false;
    bool replaced_ = false;
    bool linked_ = false;
    bool reloading_ = false;
    bool unreachable_ = false;
    /// The latest incarnation that the agent has reported.
    kernel::incarnation latest_incarnation_ = 0;
};

} // namespace endiveward::gateway

#endif
