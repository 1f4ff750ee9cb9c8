#include "agent/internal/endpoint_availability.hpp"

#include "agent/types/endpoint_notices.hpp"
#include "kernel/types/result.hpp"

#include <fmt/format.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace endiveward::agent
{

namespace
{

using std::chrono::milliseconds;

/// Time in which an endpoint that leaves is replaced, as a rule.
constexpr milliseconds replacement_time{2000};
/// A plain service has no incarnation that would show its restart.
constexpr std::chrono::seconds leaving_retention{30};
/// Soonest return of a call that was refused while traffic returns after a
/// pause.
constexpr milliseconds return_time{100};

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(
        LOG4CPLUS_TEXT("endiveward.agent.endpoint"));
}

kernel::error refusal(std::string message, kernel::steady_time::duration wait)
{
    return {kernel::error_kind::overloaded, std::move(message),
            kernel::run_state::not_run, std::chrono::ceil<milliseconds>(wait)};
}

std::string to_text(std::optional<double> limit)
{
    return limit ? fmt::format("{}", *limit) : "any number of";
}

} // namespace

endpoint_availability::endpoint_availability()
    : pause_(availability::pause_settings(), 0)
{
}

void endpoint_availability::on_incarnation(kernel::incarnation incarnation)
{
    if (std::exchange(incarnation_, incarnation) == incarnation)
        return;
    limit_.reset();
    pause_.reset();
    leaving_announced_at_.reset();
}

void endpoint_availability::on_notices(endpoint_notices const& notices,
                                       kernel::steady_time started,
                                       kernel::steady_time now)
{
    auto const warn = [](char const* text)
    { LOG4CPLUS_WARN(logger(), text << "; ignored"); };
    if (notices.leaving == availability::leaving_notice::unreadable)
        warn("endpoint's announcement of its exit is neither 0 nor 1");
    if (notices.leaving == availability::leaving_notice::leaving)
    {
        if (!leaving(now))
            LOG4CPLUS_INFO(logger(), "endpoint is going to exit");
        leaving_announced_at_ = now;
    }
    if (auto const* const pause =
            std::get_if<availability::requested_pause>(&notices.pause))
    {
        if (pause_.begin(now, pause->time))
            LOG4CPLUS_INFO(logger(), "endpoint wants no requests for "
                                         << pause->time.count() << " ms");
    }
    else if (std::holds_alternative<availability::unreadable_pause>(
                 notices.pause))
        warn("endpoint's Retry-After is neither seconds nor a date");
    auto const changed = std::visit(
        kernel::overloaded{
            [&](availability::no_limit)
            { return limit_.on_not_named(started, now); },
            [&](availability::unreadable_limit)
            {
                warn("endpoint names a limit that is no decimal number");
                return false;
            },
            [&](availability::named_limit const& named)
            { return limit_.on_named(named.requests_per_second, now); }},
        notices.limit);
    if (changed)
        LOG4CPLUS_INFO(logger(), "endpoint takes " << to_text(limit_.rate())
                                                   << " requests a second");
}

// Load patterns:
// - The usual traffic of all routers goes on: what the endpoint does not take
//   is refused at once, since a call that waited here could have run at another
//   endpoint.
// - Refused calls return when a pause ends: they are admitted one after the
//   other.
std::optional<kernel::error>
endpoint_availability::admit(kernel::steady_time now, std::uint32_t others)
{
    if (auto reason = check(now))
        return reason;
    if (!pause_.allows(now, others))
        return refusal("calls return to the endpoint one after the other after "
                       "a pause; retry later or use another endpoint",
                       return_time);
    return check_limit(now);
}

std::optional<kernel::error>
endpoint_availability::start(kernel::steady_time now, bool counted)
{
    if (auto reason = check(now))
        return reason;
    return counted ? std::nullopt : check_limit(now);
}

std::optional<kernel::error>
endpoint_availability::check(kernel::steady_time now) const
{
    if (leaving(now))
        return refusal("the endpoint is going to exit; use another endpoint",
                       replacement_time);
    if (auto const until = pause_.paused_until(now))
        return refusal("the endpoint wants no requests for a time; retry later "
                       "or use another endpoint",
                       *until - now);
    return std::nullopt;
}

std::optional<kernel::error>
endpoint_availability::check_limit(kernel::steady_time now)
{
    if (auto const until = limit_.blocked_until(now))
        return refusal(
            fmt::format("the endpoint takes {} requests a second; retry later "
                        "or use another endpoint",
                        to_text(limit_.rate())),
            *until - now);
    limit_.on_sent(now);
    return std::nullopt;
}

milliseconds endpoint_availability::wait(kernel::steady_time now) const
{
    auto until = now;
    if (leaving(now))
        until += replacement_time;
    until = std::max(until, pause_.paused_until(now).value_or(until));
    until = std::max(until, limit_.blocked_until(now).value_or(until));
    return std::chrono::ceil<milliseconds>(until - now);
}

bool endpoint_availability::leaving(kernel::steady_time now) const
{
    return leaving_announced_at_ &&
           (incarnation_ != 0 ||
            now - *leaving_announced_at_ < leaving_retention);
}

} // namespace endiveward::agent
