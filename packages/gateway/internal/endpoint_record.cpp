#include "gateway/endpoint_record.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

/// An engine that processes a long prompt still sends output of other requests
/// within this time, since one prefill chunk takes about 80 ms.
constexpr milliseconds stall_limit{900};
/// Added to the stall limit at most while the agent's next report is awaited.
constexpr milliseconds max_report_delay{400};
constexpr milliseconds initial_backoff{400};
constexpr milliseconds max_backoff{3000};
/// Half-life of a load report.
constexpr milliseconds load_half_life{500};
/// Half-life of the results of requests.
constexpr milliseconds result_half_life{3000};
/// Added to the number of results, so that few results give a low failure rate.
constexpr double prior_results = 2;

double decay(kernel::steady_time from, kernel::steady_time to,
             milliseconds half_life)
{
    using ms = std::chrono::duration<double, std::milli>;
    if (to <= from)
        return 1;
    return std::exp2(-(ms(to - from) / ms(half_life)));
}

} // namespace

endpoint_record::endpoint_record(endpoint_entry entry, std::uint64_t seed)
    : entry_(std::move(entry))
    , pause_(availability::pause_settings(), seed)
{
}

bool endpoint_record::update(endpoint_entry entry)
{
    // An older entry may arrive late, or from a store that was restored from a
    // copy. Zero means that the incarnation is not known.
    if (entry.incarnation != 0 && entry.incarnation < entry_.incarnation)
        return false;
    auto const restarted = entry.incarnation > entry_.incarnation;
    entry.incarnation = std::max(entry.incarnation, entry_.incarnation);
    if (restarted)
    {
        ++generation_;
        pause_.reset();
        limit_.reset();
        speed_.reset();
        leaving_ = false;
        // A connected agent may have reported on the new incarnation already.
        reported_leaving_ = reported_leaving_ && linked_ &&
                            latest_incarnation_ == entry.incarnation;
    }
    else
    {
        // An endpoint that drains exits. An entry that calls it ready again is
        // older, from a store that was restored from a copy.
        entry.draining = entry.draining || entry_.draining;
    }
    if (restarted || entry.host != entry_.host || entry.port != entry_.port)
    {
        // With a connected agent, its reports of the new incarnation may have
        // arrived already and are kept.
        if (!linked_)
            cache_.clear();
        load_.reset();
        replaced_ = false;
        avoided_until_ = {};
        backoff_ = milliseconds(0);
        failures_ = 0;
        results_ = 0;
        entry_ = std::move(entry);
        if (linked_ && latest_incarnation_ == entry_.incarnation)
        {
            for (auto const& it : reported_weights_)
                entry_.models[it.model] = it.version;
        }
        return true;
    }
    // Responses may have reported newer versions than the entry.
    for (auto const& [model, version] : entry_.models)
    {
        auto& listed = entry.models[model];
        if (listed < version)
            listed = version;
        else if (listed > version)
            cache_.clear();
    }
    entry_ = std::move(entry);
    return true;
}

void endpoint_record::on_sent(request_footprint const& footprint,
                              kernel::steady_time now)
{
    if (unanswered_ == 0)
        waiting_since_ = now;
    ++in_flight_;
    ++unanswered_;
    pending_tokens_ += footprint.uncached_tokens;
    memory_tokens_ += footprint.memory_tokens;
    sent_since_report_.uncached_tokens += footprint.uncached_tokens;
    sent_since_report_.memory_tokens += footprint.memory_tokens;
    demand_.on_sent(footprint.uncached_tokens, footprint.is_long, now);
}

void endpoint_record::on_response_started(request_footprint const& footprint,
                                          kernel::steady_time now)
{
    --unanswered_;
    pending_tokens_ -= footprint.uncached_tokens;
    last_bytes_ = now;
}

void endpoint_record::on_finished(request_footprint const& footprint,
                                  bool answered)
{
    --in_flight_;
    memory_tokens_ -= footprint.memory_tokens;
    if (answered)
        return;
    --unanswered_;
    pending_tokens_ -= footprint.uncached_tokens;
}

void endpoint_record::on_state(wire::engine_state const& state,
                               kernel::steady_time now)
{
    // A restarted endpoint may keep its id. Late reports of the earlier
    // incarnation are ignored. Reports of the new one may arrive before the
    // entry is updated.
    if (state.endpoint_incarnation != 0 &&
        state.endpoint_incarnation < entry_.incarnation)
        return;
    if (state.endpoint_incarnation > latest_incarnation_)
    {
        latest_incarnation_ = state.endpoint_incarnation;
        if (latest_incarnation_ > entry_.incarnation)
            cache_.clear();
    }
    unreachable_ = state.unreachable;
    linked_ = true;
    if (std::exchange(progress_, state.progress) != state.progress)
        last_bytes_ = now;
    reloading_ = state.reloading;
    // Kept when the link is lost. It follows the reports, since after a restart
    // under another id the agent may first repeat its last state.
    reported_leaving_ = state.leaving;
    cache_.set_has_reports(true);
    if (!state.weights.empty())
        reported_weights_ = state.weights;
    for (auto const& it : reported_weights_)
        set_version(it.model, it.version);
    sent_since_report_ = {};
    load_ = load_sample{state.running, state.waiting, entry_.slots, now,
                        in_flight_};
    external_unanswered_ =
        state.unanswered > unanswered_ ? state.unanswered - unanswered_ : 0;
    external_memory_ = state.memory_used > memory_tokens_
                           ? state.memory_used - memory_tokens_
                           : 0;
}

void endpoint_record::on_cache(wire::cache_change const& change)
{
    if (change.reset)
        cache_.clear();
    for (auto const& it : change.parts)
        cache_.report(it.key, it.tokens);
}

void endpoint_record::on_link_lost()
{
    linked_ = false;
    reported_weights_.clear();
    reloading_ = false;
    unreachable_ = false;
    cache_.clear();
    cache_.set_has_reports(false);
    external_memory_ = 0;
}

void endpoint_record::on_success(kernel::steady_time now)
{
    backoff_ = milliseconds(0);
    record_result(false, now);
}

void endpoint_record::on_error(kernel::steady_time now)
{
    record_result(true, now);
}

void endpoint_record::on_no_response(kernel::steady_time now)
{
    record_result(true, now);
    backoff_ = std::clamp(backoff_ * 2, initial_backoff, max_backoff);
    avoided_until_ = std::max(avoided_until_, now + backoff_);
}

void endpoint_record::on_refusal(kernel::steady_time now, milliseconds pause)
{
    avoided_until_ = std::max(avoided_until_, now + pause);
}

void endpoint_record::record_result(bool failed, kernel::steady_time now)
{
    auto const factor = decay(results_updated_at_, now, result_half_life);
    failures_ = failures_ * factor + (failed ? 1 : 0);
    results_ = results_ * factor + 1;
    results_updated_at_ = now;
}

double endpoint_record::failure_rate(kernel::steady_time now) const
{
    auto const factor = decay(results_updated_at_, now, result_half_life);
    return failures_ * factor / (results_ * factor + prior_results);
}

weights::weight_version
endpoint_record::version_of(kernel::model_id const& model) const
{
    auto const found = entry_.models.find(model);
    return found == entry_.models.end() ? 0 : found->second;
}

void endpoint_record::set_version(kernel::model_id const& model,
                                  weights::weight_version version)
{
    auto& known = entry_.models[model];
    if (known == version)
        return;
    known = version;
    cache_.clear();
}

bool endpoint_record::available(kernel::steady_time now) const
{
    return can_serve_cache(now) && !entry_.withheld &&
           pause_.allows(now, unanswered_) && !limit_.blocked_until(now);
}

bool endpoint_record::can_serve_cache(kernel::steady_time now) const
{
    return !replaced_ && !leaving() && !unreachable_or_restarted() &&
           !entry_.draining && now >= avoided_until_;
}

std::optional<kernel::steady_time>
endpoint_record::unusable_until(kernel::steady_time now) const
{
    if (replaced_ || leaving() || entry_.draining)
        return kernel::steady_time::max();
    auto const paused_until = pause_.paused_until(now);
    auto const until =
        std::max(avoided_until_, paused_until.value_or(avoided_until_));
    if (now < until)
        return until;
    return std::nullopt;
}

std::optional<kernel::steady_time>
endpoint_record::limited_until(kernel::steady_time now) const
{
    if (!can_serve_cache(now) || !pause_.allows(now, unanswered_))
        return std::nullopt;
    return limit_.blocked_until(now);
}

bool endpoint_record::stalled(kernel::steady_time now) const
{
    if (unanswered_ == 0)
        return false;
    if (unreachable_or_restarted())
        return true;
    // In a large deployment a router often has a single request at an engine,
    // which may be busy with those of other routers. Their output is known up
    // to the agent's last report.
    auto known_until = now;
    if (linked_ && load_)
        known_until = std::clamp(load_->at, now - max_report_delay, now);
    return known_until - std::max(waiting_since_, last_bytes_) > stall_limit;
}

double endpoint_record::external_unanswered(kernel::steady_time now) const
{
    if (!load_)
        return 0;
    return external_unanswered_ * decay(load_->at, now, load_half_life);
}

double endpoint_record::external_requests(kernel::steady_time now) const
{
    if (!load_)
        return 0;
    auto const total = static_cast<double>(load_->running + load_->waiting);
    auto const external = std::max(0.0, total - load_->own_requests);
    return external * decay(load_->at, now, load_half_life);
}

} // namespace endiveward::gateway
