#include "placement/internal/endpoint_record.hpp"

#include "placement/types/placement_request.hpp"

#include <algorithm>

namespace endiveward::placement
{

namespace
{

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

// Four times the default verdict timeout. A call that has had no verdict for
// that long has been abandoned or is included in a later report.
constexpr auto max_verdict_wait = 1s;

// Wait added by each queued call if the report contains no queue wait from
// which to derive it.
constexpr seconds default_wait_per_call = 200ms;

} // namespace

endpoint_record::endpoint_record(endpoint_status const& status,
                                 std::size_t max_hints, kernel::steady_time now)
    : status_(status)
    , rendezvous_seed_(kernel::hash_bytes(status.id.str()).low)
    , max_hints_(max_hints)
    , hints_(max_hints)
    , reported_at_(now)
{
    apply_report(status.load, now);
}

void endpoint_record::update(endpoint_status const& status,
                             kernel::steady_time now)
{
    wire::load_report const previous = status_.load;
    status_ = status;
    status_.load = previous;
    apply_report(status.load, now);
}

bool endpoint_record::apply_report(wire::load_report const& load,
                                   kernel::steady_time now)
{
    if (is_former_engine(load.engine_incarnation))
        return false;
    bool const same_agent =
        load.agent_incarnation == status_.load.agent_incarnation;
    if (!same_agent)
        awaiting_verdict_.clear();
    // A draining agent never becomes available again before it exits, so a
    // report of the same agent without the flag predates the drain.
    bool const draining = status_.load.draining && same_agent;
    change_engine(load.engine_incarnation, now);
    if (load.engine_incarnation != 0)
        hints_.add(load.recent_levels, now);
    // Heartbeats, and reports of engines that have not run any call, contain no
    // levels. That gives no information about the cache.
    if (!load.recent_levels.empty())
        levels_reported_at_ = now;
    status_.load = load;
    status_.load.recent_levels.clear();
    status_.load.draining = load.draining || draining;
    reported_at_ = now;
    return true;
}

std::optional<std::chrono::duration<double>>
endpoint_record::levels_age(kernel::steady_time now) const
{
    if (!levels_reported_at_)
        return std::nullopt;
    return now - *levels_reported_at_;
}

void endpoint_record::record_hit(placement_request const& request,
                                 std::uint64_t hit_bytes, bool will_run,
                                 kernel::steady_time now)
{
    if (status_.load.engine_incarnation == 0)
        return;
    hints_.record(request.levels, hit_bytes, will_run, now);
}

std::uint64_t endpoint_record::expected_hit(placement_request const& request,
                                            kernel::steady_time now) const
{
    if (status_.load.engine_incarnation == 0)
        return 0;
    return hints_.expected_bytes(request.levels, now);
}

void endpoint_record::on_sent(kernel::steady_time now)
{
    ++in_flight_;
    while (!awaiting_verdict_.empty() &&
           now - awaiting_verdict_.front() > max_verdict_wait)
        awaiting_verdict_.pop_front();
    awaiting_verdict_.push_back(now);
}

void endpoint_record::on_verdict()
{
    if (!awaiting_verdict_.empty())
        awaiting_verdict_.pop_front();
}

void endpoint_record::on_finished(placement_request const& request,
                                  bool levels_computed)
{
    if (levels_computed)
        hints_.mark_computed(request.levels);
    if (in_flight_ > 0)
        --in_flight_;
    // A call may end without a verdict, for example by a lost connection.
    while (awaiting_verdict_.size() > in_flight_)
        awaiting_verdict_.pop_front();
}

bool endpoint_record::can_serve(placement_request const& request) const
{
    if (!status_.available || status_.load.draining)
        return false;
    if (request.model.empty())
        return true;
    return std::any_of(status_.load.models.begin(), status_.load.models.end(),
                       [&](wire::loaded_model const& it) {
                           return it.model == request.model &&
                                  it.version == request.version;
                       });
}

// A queue without new calls drains in real time. Other routers may add calls
// to it, so the reported wait is aged at half that rate.
seconds endpoint_record::expected_wait(kernel::steady_time now) const
{
    auto const& load = status_.load;
    seconds const aged = seconds(load.queue_wait) - (now - reported_at_) / 2;
    seconds const reported = std::max(aged, seconds(0));
    std::size_t const extra = calls_awaiting_verdict(now);
    std::size_t const known = load.running + load.queued;
    if (load.capacity == 0 || known + extra < load.capacity)
        return reported;
    std::size_t const free = load.capacity > known ? load.capacity - known : 0;
    seconds per_call = default_wait_per_call;
    if (load.queue_wait > 0ms)
        per_call = seconds(load.queue_wait) / (load.queued + 1);
    return reported + per_call * (extra - std::min(extra, free));
}

double endpoint_record::occupancy(kernel::steady_time now) const
{
    auto const& load = status_.load;
    double const calls = load.running + load.queued +
                         static_cast<double>(calls_awaiting_verdict(now));
    return calls / std::max<double>(load.capacity, 1.0);
}

bool endpoint_record::is_former_engine(kernel::incarnation engine) const
{
    return engine != 0 &&
           std::find(former_engines_.begin(), former_engines_.end(), engine) !=
               former_engines_.end();
}

// Late reports of an earlier engine incarnation may still arrive. The last few
// incarnations are remembered, so that such reports do not restore their load
// and hints. An unknown incarnation (zero) does not show that the engine
// restarted.
void endpoint_record::change_engine(kernel::incarnation engine,
                                    kernel::steady_time now)
{
    if (engine == 0 || engine == engine_)
        return;
    hints_ = hit_hints(max_hints_);
    if (engine_ != 0)
    {
        // The cache of a restarted engine is known to be empty, which counts as
        // a report of its levels.
        levels_reported_at_ = now;
        former_engines_[next_former_engine_] = engine_;
        next_former_engine_ =
            (next_former_engine_ + 1) % former_engines_.size();
    }
    engine_ = engine;
}

std::size_t
endpoint_record::calls_awaiting_verdict(kernel::steady_time now) const
{
    return static_cast<std::size_t>(std::count_if(
        awaiting_verdict_.begin(), awaiting_verdict_.end(),
        [&](kernel::steady_time it) { return now - it <= max_verdict_wait; }));
}

} // namespace endiveward::placement
