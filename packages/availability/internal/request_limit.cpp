#include "availability/request_limit.hpp"

#include <algorithm>
#include <utility>

namespace endiveward::availability
{

namespace
{

using seconds = std::chrono::duration<double>;

} // namespace

request_limit::request_limit(request_limit_settings settings)
    : settings_(settings)
{
}

bool request_limit::on_named(double rate, kernel::steady_time now)
{
    last_named_ = now;
    last_named_here_ = now;
    return set(named_, rate, now);
}

/// Responses on different connections overtake each other. One that was
/// requested before the limit was named may have been made before it.
bool request_limit::on_not_named(kernel::steady_time sent,
                                 kernel::steady_time now)
{
    if (!named_ || sent <= last_named_)
        return false;
    return set(named_, std::nullopt, now);
}

bool request_limit::on_reported(double rate, kernel::steady_time now)
{
    last_named_ = now;
    return set(named_, rate, now);
}

bool request_limit::on_end_reported(kernel::steady_time now)
{
    if (!named_ || now - last_named_here_ < settings_.min_time_named)
        return false;
    return set(named_, std::nullopt, now);
}

bool request_limit::on_agent_report(std::optional<double> rate,
                                    kernel::steady_time now)
{
    return set(named_to_agent_, rate, now);
}

void request_limit::reset()
{
    named_.reset();
    named_to_agent_.reset();
}

void request_limit::on_sent(kernel::steady_time now)
{
    if (!rate())
        return;
    settle(now);
    level_ = std::max(
        level_ - 1,
        std::min(-refill_rate() * seconds(settings_.max_debt).count(), -1.0));
}

void request_limit::set_share(double share, kernel::steady_time now)
{
    if (share == share_)
        return;
    settle(now);
    share_ = share;
}

std::optional<double> request_limit::rate() const
{
    if (named_ && named_to_agent_)
        return std::min(*named_, *named_to_agent_);
    return named_ ? named_ : named_to_agent_;
}

std::optional<kernel::steady_time>
request_limit::blocked_until(kernel::steady_time now) const
{
    if (!rate())
        return std::nullopt;
    auto const missing = 1 - level(now);
    if (missing <= 0)
        return std::nullopt;
    return now + std::chrono::ceil<std::chrono::milliseconds>(
                     seconds(missing / refill_rate()));
}

double request_limit::refill_rate() const
{
    return std::max(rate().value_or(0), settings_.min_rate) * share_;
}

double request_limit::max_level() const
{
    return std::max(refill_rate() * seconds(settings_.max_burst).count(), 1.0);
}

double request_limit::level(kernel::steady_time now) const
{
    auto const time = std::max(seconds(now - settled_at_), seconds(0));
    return std::min(level_ + time.count() * refill_rate(), max_level());
}

void request_limit::settle(kernel::steady_time now)
{
    level_ = level(now);
    settled_at_ = now;
}

/// All processes learn of a limit at about the same time. If each began with a
/// request in hand, all of them would be sent at once.
bool request_limit::set(std::optional<double>& source,
                        std::optional<double> rate, kernel::steady_time now)
{
    auto const before = this->rate();
    if (before)
        settle(now);
    source = rate;
    auto const after = this->rate();
    if (!before && after)
    {
        level_ = 0;
        settled_at_ = now;
    }
    return before != after;
}

} // namespace endiveward::availability
