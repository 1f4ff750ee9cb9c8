#include "gateway/unavailability_policy.hpp"

#include "gateway/types/endpoint_outage.hpp"
#include "gateway/types/unserved_request.hpp"
#include "kernel/i_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace endiveward::gateway
{

namespace
{

using kernel::steady_time;
using std::chrono::milliseconds;

/// An endpoint whose outage ends soon, but at an unknown time, is waited for
/// during the target latency divided by `wait_divisor`. Endpoints are checked
/// again `wait_steps` times in this time.
constexpr int wait_divisor = 8;
constexpr int wait_steps = 4;
constexpr milliseconds min_step{5};
/// With less time than this left, no endpoint can answer.
constexpr milliseconds min_time_left{5};
/// Expected remaining time of outages whose end is not known. A restart, a
/// broken connection or a full connection pool usually ends within this time.
constexpr milliseconds short_outage{350};
/// Mean remaining time of a load of weights, which takes 1.4 s with the wait
/// for running requests.
constexpr milliseconds remaining_load{700};
/// Soonest return to an endpoint that has just refused a request.
constexpr milliseconds after_refusal{250};
/// Time in which an endpoint that has left is replaced.
constexpr milliseconds replacement{2000};
/// Callers accept a `Retry-After` of up to a third of the time that they have
/// left when they receive it. The difference is for the response's way.
constexpr double accepted_share = 0.3;
/// A delay whose end is not known is spread by this share of it in both
/// directions.
constexpr double delay_spread = 0.25;
/// Callers return within the remaining time of an outage after its end, but
/// within at least this time.
constexpr milliseconds min_outage_spread{100};

/// A number in [0, 1).
double fraction_of(std::uint64_t seed)
{
    constexpr int mantissa_bits = 53;
    return static_cast<double>(seed >> (64 - mantissa_bits)) /
           static_cast<double>(std::uint64_t{1} << mantissa_bits);
}

milliseconds scale(milliseconds time, double factor)
{
    using ms = std::chrono::duration<double, std::milli>;
    return std::chrono::duration_cast<milliseconds>(ms(time) * factor);
}

milliseconds between(milliseconds low, milliseconds high, std::uint64_t seed)
{
    return low + scale(high - low, fraction_of(seed));
}

} // namespace

/// The earliest ends of the outages, of each kind.
struct unavailability_policy::outlook
{
    /// Known end at an endpoint that may still take this request.
    std::optional<steady_time> known_end;
    /// When an endpoint with a limit takes the next request.
    std::optional<steady_time> limited_end;
    /// Known end at an endpoint that has already been tried.
    std::optional<steady_time> tried_end;
    bool short_outage = false;
    bool loading = false;
    bool tried = false;
    bool leaving = false;

    /// Whether an endpoint that may take this request can become usable at any
    /// time.
    bool may_end_soon() const { return short_outage || loading; }

    std::string_view reason() const
    {
        if (short_outage)
            return "no_endpoint";
        if (known_end)
            return "endpoints_paused";
        if (limited_end)
            return "endpoints_limited";
        if (loading)
            return "endpoints_loading";
        if (tried)
            return "endpoints_tried";
        return leaving ? "endpoints_leaving" : "no_endpoint";
    }
};

unavailability_policy::unavailability_policy(kernel::i_clock const& clock)
    : clock_(clock)
{
}

// Load patterns:
// - All endpoints crashed a moment ago, and their agents do not reach them: the
//   outage is short as a rule, so the request waits for a part of its target
//   latency.
// - All endpoints have expired weights until a load ends: as above. A rejected
//   caller returns when the load has probably ended.
// - All endpoints have asked for a pause, or are avoided after failures: the
//   end is known. The request waits if it is near enough, with the same limit
//   as for a wait at an endpoint, and is otherwise rejected at once.
// - More requests arrive than endpoints take that name a limit: rejected at
//   once. Each endpoint takes its next request from any router, and requests
//   that arrive then are enough to use the limit; those that waited for it
//   would be too many for it, and late.
// - No endpoint is listed, or the last one leaves and its replacement takes
//   some seconds: rejected at once. Callers retry only a few times, so they
//   return when a replacement is likely.
// - All endpoints have failed or refused this request: rejected at once.
unavailability_decision
unavailability_policy::decide(std::span<endpoint_outage const> endpoints,
                              unserved_request const& request) const
{
    auto const now = clock_.now();
    auto const summary = summarize(endpoints);
    auto const last_useful = request.expires - min_time_left;
    auto const step = std::max<milliseconds>(
        request.target_latency / (wait_divisor * wait_steps), min_step);
    auto const soon_limit = std::min<steady_time>(
        request.waiting_since + request.target_latency / wait_divisor,
        last_useful);
    auto const known_limit = std::min<steady_time>(
        request.waiting_since + request.max_wait, last_useful);
    // The list of endpoints may change while the request waits for a known
    // end, so it is checked in steps as well.
    auto const next =
        std::min(summary.known_end.value_or(steady_time::max()), now + step);
    if (summary.known_end && *summary.known_end <= known_limit)
        return wait_for_endpoint{next};
    if (summary.may_end_soon() && next <= soon_limit)
        return wait_for_endpoint{next};
    return reject_request{summary.reason(), rejection_delay(summary, request)};
}

unavailability_policy::outlook unavailability_policy::summarize(
    std::span<endpoint_outage const> endpoints) const
{
    outlook res;
    auto const now = clock_.now();
    auto const add_end =
        [now](std::optional<steady_time>& earliest, steady_time end)
    { earliest = std::min(earliest.value_or(end), std::max(end, now)); };
    for (auto const& it : endpoints)
    {
        if (it.until == steady_time::max())
            res.leaving = true;
        else if (it.tried)
        {
            res.tried = true;
            add_end(res.tried_end, it.until.value_or(now));
        }
        else if (it.limited)
            add_end(res.limited_end, it.until.value_or(now));
        else if (it.until)
            add_end(res.known_end, *it.until);
        else if (it.loading)
            res.loading = true;
        else
            res.short_outage = true;
    }
    return res;
}

/// Returns the time until the earliest outage ends, as far as known, spread so
/// that callers that were rejected during one outage do not return together.
milliseconds
unavailability_policy::rejection_delay(outlook const& summary,
                                       unserved_request const& request) const
{
    auto const now = clock_.now();
    auto const remaining = [now](std::optional<steady_time> end)
    {
        return end ? std::chrono::ceil<milliseconds>(*end - now)
                   : milliseconds::max();
    };
    auto until_known =
        std::min(remaining(summary.known_end), remaining(summary.limited_end));
    if (summary.tried_end)
        until_known = std::min(
            until_known, std::max(remaining(summary.tried_end), after_refusal));
    auto until_unknown = milliseconds::max();
    if (summary.short_outage)
        until_unknown = short_outage;
    else if (summary.loading)
        until_unknown = remaining_load;
    else if (until_known == milliseconds::max())
        until_unknown = replacement;
    if (until_unknown <= until_known)
        return retry_after(request, until_unknown);
    // Callers that return before the end are rejected again. A return later
    // than the target latency after it makes every answer late.
    auto const spread =
        std::clamp(until_known, min_outage_spread,
                   std::max(request.target_latency, min_outage_spread));
    return limited(until_known, until_known + spread, request);
}

milliseconds unavailability_policy::retry_after(unserved_request const& request,
                                                milliseconds delay) const
{
    return limited(scale(delay, 1 - delay_spread),
                   scale(delay, 1 + delay_spread), request);
}

milliseconds
unavailability_policy::max_retry_after(unserved_request const& request) const
{
    auto const now = clock_.now();
    auto const left = std::chrono::duration_cast<milliseconds>(
        std::max(request.caller_expires, now) - now);
    return scale(left, accepted_share);
}

/// Returns a delay between `low` and `high`, or below if the caller does not
/// accept that. Callers with less time left return earlier.
milliseconds
unavailability_policy::limited(milliseconds low, milliseconds high,
                               unserved_request const& request) const
{
    auto const limit = max_retry_after(request);
    high = std::min(high, limit);
    if (high - low < min_outage_spread)
        low = std::min(low, scale(high, 1 - delay_spread));
    return between(low, high, request.seed);
}

} // namespace endiveward::gateway
