#include "gateway/endpoint_speed.hpp"

#include <algorithm>
#include <cmath>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;
using duration = request_work::duration;

/// Half-life of the weight of a sample. With 28 routers an endpoint answers
/// each of them about once in four seconds.
constexpr milliseconds sample_half_life{4000};
/// Half-life of a figure. What slows an endpoint down comes and goes within
/// 600 ms.
constexpr milliseconds figure_half_life{300};
/// Weight of the service's mean, in samples. It decides when samples are old.
constexpr double mean_weight = 0.5;
/// An estimate that rests on more samples than these counts no more.
constexpr double max_estimate_weight = 4;
/// Below this weight an estimate tells nothing.
constexpr double min_weight = 0.05;
/// One sample may differ by this factor at most from what was learned before.
constexpr double max_sample_step = 2;
/// A request with less work of its own than this is dominated by the network
/// and by the decoding step that it waits for.
constexpr duration min_own_work{20};
/// A shorter measured time is an error of the clock.
constexpr duration min_taken{0.1};
/// Number of figures over which their mean is taken.
constexpr std::size_t usual_figures = 16;
/// Weight of the expectation that the usual figure is 100 %.
constexpr std::size_t prior_figures = 2;
/// Estimates of more processes than these add nothing.
constexpr std::size_t max_sources = 32;
/// A factor that a figure reduces further.
constexpr double min_current = 0.1;
/// Steps of the home weight are a factor of 2^(1/4), since processes that
/// differ by one step still agree on most homes.
constexpr double steps_per_octave = 4;
/// The step changes only if the factor is this far from it, in steps, so that
/// homes do not move with each sample.
constexpr double step_hysteresis = 0.75;

double decay(kernel::steady_time from, kernel::steady_time to,
             milliseconds half_life)
{
    if (to <= from)
        return 1;
    return std::exp2(-(duration(to - from) / duration(half_life)));
}

double bounded_level(double factor)
{
    return std::log(std::clamp(factor, endpoint_speed::min_factor,
                               endpoint_speed::max_factor));
}

} // namespace

// Load pattern: neighbors on the endpoint's machine slow it down for 600 ms at
// a time, and some endpoints always name the same wrong figure. The figure is
// therefore related to the usual figure of the endpoint: one that always says
// 250 % and one that always says 100 % differ only by what was measured.
void endpoint_speed::on_figure(double factor, kernel::steady_time now)
{
    if (!(factor > 0) || !std::isfinite(factor))
        return;
    figure_ = std::log(factor);
    figure_at_ = now;
    figures_ = std::min(figures_ + 1, usual_figures);
    usual_figure_ += (figure_ - usual_figure_) /
                     static_cast<double>(figures_ + prior_figures);
}

// Load pattern: engines of 0.7, 0.7 and 1.7 times the usual speed in turn, and
// one that says 100 % and is slow. Samples in which the request's own work is a
// small part of the time count less, since the queue at an endpoint is known
// only from reports.
bool endpoint_speed::on_answer(request_work const& expected, duration taken,
                               kernel::steady_time now)
{
    if (!enabled_ || expected.own < min_own_work)
        return false;
    auto const measured = expected.total() / std::max(taken, min_taken);
    // The figure has just been set if the answer has one.
    auto const slowdown =
        (figure_ - usual_figure_) * decay(figure_at_, now, figure_half_life);
    auto const before = std::log(learned(now));
    auto const step = std::log(max_sample_step);
    auto const sample =
        std::clamp(std::log(measured) + slowdown, before - step, before + step);
    auto const weight = expected.own / expected.total();
    auto const kept = own_.weight * decay(own_.at, now, sample_half_life);
    own_.level = (own_.level * kept + sample * weight) / (kept + weight);
    own_.level = bounded_level(std::exp(own_.level));
    own_.weight = std::min(kept + weight, max_estimate_weight);
    own_.at = now;
    return true;
}

void endpoint_speed::on_shared(std::uint64_t source, double factor,
                               kernel::steady_time now)
{
    if (!enabled_ || !(factor > 0) || !std::isfinite(factor))
        return;
    estimate const value{source, bounded_level(factor), 1, now};
    auto found =
        std::find_if(shared_.begin(), shared_.end(),
                     [&](auto const& it) { return it.source == source; });
    if (found == shared_.end() && shared_.size() >= max_sources)
        found = std::min_element(shared_.begin(), shared_.end(),
                                 [](auto const& a, auto const& b)
                                 { return a.at < b.at; });
    if (found == shared_.end())
        shared_.push_back(value);
    else
        *found = value;
}

bool endpoint_speed::refresh(double service_mean, kernel::steady_time now)
{
    service_level_ = bounded_level(service_mean);
    auto const exact = std::log2(learned(now)) * steps_per_octave;
    if (step_ && std::abs(exact - *step_) < step_hysteresis)
        return false;
    auto const before = home_weight();
    step_ = static_cast<int>(std::lround(exact));
    return home_weight() != before;
}

void endpoint_speed::reset()
{
    auto const service_level = service_level_;
    auto const enabled = enabled_;
    *this = endpoint_speed();
    service_level_ = service_level;
    enabled_ = enabled;
}

std::optional<double> endpoint_speed::own_factor() const
{
    if (own_.weight <= 0)
        return std::nullopt;
    return std::exp(own_.level);
}

bool endpoint_speed::has_samples(kernel::steady_time now) const
{
    auto const counts = [&](estimate const& it)
    { return it.weight * decay(it.at, now, sample_half_life) >= min_weight; };
    return counts(own_) || std::any_of(shared_.begin(), shared_.end(), counts);
}

double endpoint_speed::learned(kernel::steady_time now) const
{
    if (!enabled_)
        return 1;
    auto sum = service_level_ * mean_weight;
    auto weights = mean_weight;
    auto const add = [&](estimate const& it)
    {
        auto const weight = it.weight * decay(it.at, now, sample_half_life);
        sum += it.level * weight;
        weights += weight;
    };
    add(own_);
    std::for_each(shared_.begin(), shared_.end(), add);
    return std::clamp(std::exp(sum / weights), min_factor, max_factor);
}

double endpoint_speed::current(kernel::steady_time now) const
{
    if (!enabled_)
        return 1;
    auto const slowdown =
        (figure_ - usual_figure_) * decay(figure_at_, now, figure_half_life);
    return std::clamp(learned(now) * std::exp(-slowdown), min_current,
                      max_factor);
}

double endpoint_speed::home_weight() const
{
    return step_ ? std::exp2(*step_ / steps_per_octave) : 1;
}

} // namespace endiveward::gateway
