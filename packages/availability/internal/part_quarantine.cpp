#include "availability/part_quarantine.hpp"

#include <algorithm>
#include <utility>

namespace endiveward::availability
{

using std::chrono::milliseconds;

namespace
{

milliseconds since(kernel::steady_time at, kernel::steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(now - at);
}

} // namespace

part_quarantine::part_quarantine(quarantine_settings settings,
                                 std::uint64_t seed)
    : settings_(settings)
    , seed_(seed)
{
}

std::vector<part_quarantine::suspicion>
part_quarantine::on_crash(crash_key crash, request_keys const& keys,
                          kernel::steady_time now)
{
    forget_expired(now);
    if (refuted_.contains(crash))
        return {};
    open_crash(crash, now);
    std::vector<suspicion> res;
    add_suspects(crash, keys, now, res);
    add_abandoned(crash, now, res);
    return res;
}

std::vector<part_quarantine::suspicion>
part_quarantine::on_abandoned(crash_key crash, request_keys const& keys,
                              kernel::steady_time now)
{
    forget_expired(now);
    if (open_crashes_.contains(crash))
        return on_crash(crash, keys, now);
    abandoned_.push_back({crash, keys, now});
    if (abandoned_.size() > settings_.max_abandoned)
        abandoned_.pop_front();
    return {};
}

std::vector<part_quarantine::suspicion>
part_quarantine::on_unreachable(crash_key crash, kernel::steady_time now)
{
    forget_expired(now);
    auto const known =
        std::any_of(abandoned_.begin(), abandoned_.end(),
                    [crash](auto const& it) { return it.endpoint == crash; });
    return known ? on_crash(crash, {}, now) : std::vector<suspicion>();
}

void part_quarantine::add_suspects(crash_key crash, request_keys const& keys,
                                   kernel::steady_time now,
                                   std::vector<suspicion>& out)
{
    keys.for_each(
        [&](part_key key, std::uint32_t depth)
        {
            if (recently_served(key, now))
                return;
            wire::part_crash const it{key, crash, depth, milliseconds(0)};
            auto const added = add(it, now);
            if (!added)
                return;
            out.push_back(*added);
            news_.crashes.push_back(it);
        });
}

void part_quarantine::add_abandoned(crash_key crash, kernel::steady_time now,
                                    std::vector<suspicion>& out)
{
    for (auto it = abandoned_.begin(); it != abandoned_.end();)
    {
        if (it->endpoint != crash)
        {
            ++it;
            continue;
        }
        add_suspects(crash, it->keys, now, out);
        it = abandoned_.erase(it);
    }
}

bool part_quarantine::on_sent(request_keys const& keys, kernel::steady_time now)
{
    auto res = false;
    if (suspects_.empty())
        return res;
    keys.for_each(
        [&](part_key part, std::uint32_t)
        {
            auto const found = suspects_.find(part);
            if (found == suspects_.end() ||
                found->second.crashes.size() < settings_.min_crashes ||
                has_better_explanation(part, found->second))
                return;
            found->second.trial_until = now + settings_.trial_time;
            news_.tried_parts.push_back(part);
            res = true;
        });
    return res;
}

std::size_t part_quarantine::on_served(request_keys const& keys,
                                       kernel::steady_time now)
{
    std::size_t res = 0;
    keys.for_each(
        [&](part_key it, std::uint32_t)
        {
            remember_served(it, now);
            if (suspects_.erase(it) == 0)
                return;
            news_.served_parts.push_back(it);
            ++res;
        });
    return res;
}

bool part_quarantine::on_endpoint_active(crash_key crash,
                                         kernel::steady_time now)
{
    auto const found = open_crashes_.find(crash);
    if (found == open_crashes_.end())
        return false;
    auto const delay = since(found->second, now);
    if (delay < settings_.min_refutation_delay)
        return false;
    open_crashes_.erase(found);
    if (delay > settings_.max_refutation_delay)
        return false;
    remove_crash(crash, now);
    news_.refuted_crashes.push_back(crash);
    return true;
}

std::vector<part_quarantine::suspicion>
part_quarantine::on_report(wire::part_report const& report,
                           kernel::steady_time now)
{
    forget_expired(now);
    for (auto const it : report.served_parts)
    {
        remember_served(it, now);
        suspects_.erase(it);
    }
    for (auto const it : report.refuted_crashes)
        remove_crash(it, now);
    for (auto const it : report.tried_parts)
    {
        if (auto const found = suspects_.find(it); found != suspects_.end())
            found->second.trial_until = now + settings_.trial_time;
    }
    std::vector<suspicion> res;
    for (auto const& it : report.crashes)
    {
        auto const at = now - std::max(it.age, milliseconds(0));
        if (refuted_.contains(it.crash))
            continue;
        if (recently_served(it.part, at))
        {
            news_.served_parts.push_back(it.part);
            continue;
        }
        if (since(at, now) <= settings_.max_refutation_delay)
            open_crash(it.crash, at);
        if (auto const added = add(it, now))
            res.push_back(*added);
        add_abandoned(it.crash, now, res);
    }
    return res;
}

void part_quarantine::open_crash(crash_key crash, kernel::steady_time at)
{
    if (open_crashes_.try_emplace(crash, at).second)
        crashes_open_until_ =
            std::max(crashes_open_until_, at + settings_.max_refutation_delay);
}

std::optional<part_quarantine::suspicion>
part_quarantine::add(wire::part_crash const& crash, kernel::steady_time now)
{
    if (suspects_.size() >= settings_.max_suspects &&
        !suspects_.contains(crash.part) && !forget_weakest())
        return std::nullopt;
    auto& it = suspects_[crash.part];
    it.depth = std::max(it.depth, crash.depth);
    if (it.crashes.size() >= settings_.max_crashes_per_part)
        return std::nullopt;
    auto const at = now - std::max(crash.age, milliseconds(0));
    if (!it.crashes.emplace(crash.crash, at).second)
        return std::nullopt;
    it.last_crash = std::max(it.last_crash, at);
    return suspicion{crash.part, it.crashes.size(),
                     duration_after(it.crashes.size()),
                     crash.depth == request_keys::request_depth};
}

void part_quarantine::remove_crash(crash_key crash, kernel::steady_time now)
{
    refuted_[crash] = now;
    for (auto it = suspects_.begin(); it != suspects_.end();)
    {
        auto& crashes = it->second.crashes;
        if (crashes.erase(crash) > 0 && crashes.empty())
            it = suspects_.erase(it);
        else
            ++it;
    }
}

void part_quarantine::forget_expired(kernel::steady_time now)
{
    std::erase_if(suspects_,
                  [&](auto const& it) {
                      return now - it.second.last_crash >=
                             settings_.suspicion_retention;
                  });
    std::erase_if(open_crashes_, [&](auto const& it)
                  { return now - it.second > settings_.max_refutation_delay; });
    std::erase_if(refuted_, [&](auto const& it)
                  { return now - it.second >= settings_.served_retention; });
    while (!abandoned_.empty() &&
           now - abandoned_.front().at > settings_.abandoned_retention)
        abandoned_.pop_front();
}

/// Forgets the part that was at a single crash the longest time ago. Returns
/// false if all were at more.
bool part_quarantine::forget_weakest()
{
    auto weakest = suspects_.end();
    for (auto it = suspects_.begin(); it != suspects_.end(); ++it)
    {
        if (it->second.crashes.size() < settings_.min_crashes &&
            (weakest == suspects_.end() ||
             it->second.last_crash < weakest->second.last_crash))
            weakest = it;
    }
    if (weakest == suspects_.end())
        return false;
    suspects_.erase(weakest);
    return true;
}

void part_quarantine::remember_served(part_key part, kernel::steady_time now)
{
    if (served_.size() >= settings_.max_served && !served_.contains(part))
        std::erase_if(served_,
                      [&](auto const& it) {
                          return now - it.second >= settings_.served_retention;
                      });
    if (served_.size() < settings_.max_served || served_.contains(part))
        served_[part] = now;
}

bool part_quarantine::recently_served(part_key part,
                                      kernel::steady_time crash_at) const
{
    auto const found = served_.find(part);
    return found != served_.end() &&
           found->second + settings_.served_retention >= crash_at;
}

milliseconds part_quarantine::duration_after(std::size_t crashes) const
{
    if (crashes < settings_.min_crashes)
        return milliseconds(0);
    auto res = settings_.first_duration;
    for (auto n = settings_.min_crashes;
         n < crashes && res < settings_.max_duration; ++n)
        res *= settings_.growth;
    return std::min(res, settings_.max_duration);
}

/// The spread depends on the part, too, so that no process tries all of them.
kernel::steady_time part_quarantine::quarantine_end(part_key part,
                                                    suspect const& it) const
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    constexpr int unused_bits = 32;
    auto const hash = ((part ^ seed_) * multiplier) >> unused_bits;
    auto const choices =
        static_cast<std::uint64_t>(settings_.return_spread.count() + 1);
    return it.last_crash + duration_after(it.crashes.size()) +
           milliseconds(static_cast<std::int64_t>(hash % choices));
}

/// Requests with a part that crashes endpoints share parts with sound ones. A
/// part is not quarantined while another one, later in the prompt, was at all
/// of its crashes, or another one at the same place was at more. A crash
/// without that other part ends this. A whole request is no such explanation
/// for its parts: other requests with them may crash endpoints just as well.
///
/// Requests that end with one endpoint are retried together and may end with
/// the next one, too. Of whole requests that were at the same two crashes, none
/// is quarantined until the next crash tells them apart.
bool part_quarantine::has_better_explanation(part_key part,
                                             suspect const& it) const
{
    return std::any_of(
        suspects_.begin(), suspects_.end(),
        [&](auto const& entry)
        {
            auto const& other = entry.second;
            constexpr auto request_depth = request_keys::request_depth;
            if ((other.depth == request_depth) != (it.depth == request_depth))
                return false;
            auto const undecided = it.depth == request_depth &&
                                   it.crashes.size() == settings_.min_crashes &&
                                   other.crashes.size() == it.crashes.size();
            auto const likelier = other.depth > it.depth ||
                                  (other.depth == it.depth &&
                                   other.crashes.size() > it.crashes.size()) ||
                                  undecided;
            return entry.first != part && likelier &&
                   std::all_of(it.crashes.begin(), it.crashes.end(),
                               [&](auto const& crash)
                               { return other.crashes.contains(crash.first); });
        });
}

std::optional<kernel::steady_time>
part_quarantine::quarantined_until(request_keys const& keys,
                                   kernel::steady_time now) const
{
    std::optional<kernel::steady_time> res;
    if (suspects_.empty())
        return res;
    keys.for_each(
        [&](part_key part, std::uint32_t)
        {
            auto const found = suspects_.find(part);
            if (found == suspects_.end())
                return;
            auto const& it = found->second;
            if (it.crashes.size() < settings_.min_crashes)
                return;
            auto const until =
                std::max(quarantine_end(part, it), it.trial_until);
            if (until <= now || has_better_explanation(part, it))
                return;
            res = res ? std::max(*res, until) : until;
        });
    return res;
}

wire::part_report part_quarantine::take_news()
{
    return std::exchange(news_, {});
}

wire::part_report part_quarantine::snapshot(kernel::steady_time now) const
{
    wire::part_report res;
    for (auto const& [part, it] : suspects_)
    {
        for (auto const& [crash, at] : it.crashes)
            res.crashes.push_back({part, crash, it.depth, since(at, now)});
    }
    return res;
}

} // namespace endiveward::availability
