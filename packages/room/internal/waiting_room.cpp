#include "room/waiting_room.hpp"

#include <algorithm>

namespace endiveward::room
{

namespace
{

using kernel::steady_time;
using std::chrono::milliseconds;

/// Requests that cannot be in time wait only while at least this share of them
/// was served lately.
constexpr double min_late_served = 0.25;
/// Fewer late requests do not show that waiting is in vain.
constexpr double min_late_count = 4;

milliseconds scale(steady_time::duration time, double factor)
{
    using ms = std::chrono::duration<double, std::milli>;
    return std::chrono::duration_cast<milliseconds>(ms(time) * factor);
}

} // namespace

waiting_room::waiting_room()
    : waiting_room(room_settings())
{
}

waiting_room::waiting_room(room_settings settings)
    : settings_(settings)
{
}

// Load patterns:
// - A burst for some seconds, a group of requests at once, or a part of the
//   engines down: capacity becomes free within the slack of most requests, so
//   they wait for it in the order of their latest useful start.
// - 1.7 times the load on all for longer: the requests that wait are more than
//   can be in time. Those whose time has passed yield to those that can still
//   be in time, and once few of them are served, they are refused as soon as
//   they are late.
// - One workspace sends many times its usual load: equal ranks are ordered by
//   fair shares, and a workspace that is refused much more often than the rest
//   proceeds first.
// - A burst of long prompts fills the engines' memory: they wait, and shorter
//   prompts that fit pass them. If the router's own room is full, the longest
//   are refused first.
room_decision waiting_room::decide(waiting_request const& request,
                                   capacity_offer const& offer, steady_time now)
{
    drain_.advance(!entries_.empty(), now);
    mark_overdue(now);
    auto const found = entries_.find(request.ticket);
    auto const is_new = found == entries_.end();
    auto arriving = is_new ? make_entry(request, now) : entry();
    auto& it = is_new ? arriving : found->second;
    if (it.displaced)
        return refuse(it, "room_full", offer, now);
    // Its start at this endpoint would not be later if it was sent later.
    if (!it.late && now + offer.wait >= it.latest_start)
        mark_late(it);
    it.is_passed = !offer.fits_memory || !offer.has_share;
    it.request.max_wait = request.max_wait;
    if (offer.wait > request.max_wait)
        note_pressure(request, now);
    if (!offer.suffices(request))
    {
        scarce_at_ = now;
        if (!it.late)
            in_time_lacked_at_ = now;
    }
    else if (precedes_others(it, now) &&
             (!it.late || !in_time_lacked_at_ ||
              now - *in_time_lacked_at_ > settings_.late_pause))
        return start(it, now);
    if (now >= it.hold_until || !is_worth_waiting(it, offer, now))
        return refuse(it, "overloaded", offer, now);
    if (is_new)
    {
        if (!make_place_for(it, now))
            return refuse(it, "room_full", offer, now);
        insert(it);
    }
    return wait_for_capacity{
        it.late ? it.hold_until : std::min(it.latest_start, it.hold_until)};
}

// Load pattern: long prompts with a target of 2 s fill the engines' queues to a
// depth at which short ones with a target of 500 ms are late wherever they are
// sent. While that is so, requests with more time wait at the router instead.
// The limit rises to their own as their time passes.
milliseconds waiting_room::max_wait(milliseconds own, steady_time arrived,
                                    steady_time target_at,
                                    steady_time now) const
{
    if (!pressed_at_ || now - *pressed_at_ > settings_.pressure_retention ||
        own <= pressed_wait_)
        return own;
    if (now >= target_at)
        return own;
    using ms = std::chrono::duration<double, std::milli>;
    auto const passed = ms(now - arrived) / ms(target_at - arrived);
    return pressed_wait_ + scale(own - pressed_wait_, passed);
}

bool waiting_room::is_scarce(steady_time now) const
{
    return !entries_.empty() ||
           (scarce_at_ && now - *scarce_at_ <= settings_.pressure_retention);
}

void waiting_room::note_pressure(waiting_request const& request,
                                 steady_time now)
{
    auto const over =
        !pressed_at_ || now - *pressed_at_ > settings_.pressure_retention;
    if (!over && request.own_max_wait > pressed_wait_)
        return;
    pressed_wait_ = request.own_max_wait;
    pressed_at_ = now;
}

waiting_room::entry waiting_room::make_entry(waiting_request const& request,
                                             steady_time now)
{
    entry res;
    res.request = request;
    res.first_arrival =
        std::min(request.arrived, refused_.take(request.caller, now));
    auto const margin = std::min(settings_.start_error,
                                 scale(request.target_at - request.arrived,
                                       settings_.max_start_error_share));
    res.latest_start = request.target_at - request.service_time - margin;
    auto const held = request.arrived + scale(request.expires - request.arrived,
                                              settings_.max_hold_share);
    res.hold_until =
        std::min<steady_time>(std::max<steady_time>(res.latest_start, held),
                              request.expires - request.service_time);
    return res;
}

waiting_room::place waiting_room::place_of(entry const& it) const
{
    return {it.latest_start.time_since_epoch() / settings_.order_step,
            it.request.priority, it.first_arrival, it.request.ticket};
}

waiting_room::rank waiting_room::rank_of(entry const& it, steady_time now) const
{
    auto const workspace = it.request.workspace;
    return {it.late,
            !shares_.starved(workspace, now),
            it.latest_start.time_since_epoch() / settings_.order_step,
            it.request.priority,
            shares_.start_tag(workspace),
            it.first_arrival,
            it.request.ticket};
}

/// Returns the eligible entry with the first rank, or null. Entries of one
/// workspace are ordered already, so that only the first of each is compared.
template <typename Predicate>
waiting_room::entry const* waiting_room::first(Predicate is_eligible,
                                               steady_time now) const
{
    std::optional<rank> best;
    entry const* res = nullptr;
    auto const compare_lane = [&](std::set<place> const& lane)
    {
        for (auto const& it : lane)
        {
            auto const& candidate = entries_.at(std::get<3>(it));
            if (!is_eligible(candidate))
                continue;
            auto const found = rank_of(candidate, now);
            if (!best || found < *best)
            {
                best = found;
                res = &candidate;
            }
            return;
        }
    };
    auto const has_in_time = !by_latest_start_.empty();
    for (auto const& [workspace, it] : by_workspace_)
    {
        if (has_in_time)
            compare_lane(it.in_time);
    }
    if (res != nullptr)
        return res;
    for (auto const& [workspace, it] : by_workspace_)
        compare_lane(it.late);
    return res;
}

/// Whether no other request that could use the same capacity ranks before this
/// one. A request for which no endpoint has enough memory, or a large enough
/// share for this process, does not hold up smaller ones.
bool waiting_room::precedes_others(entry const& it, steady_time now) const
{
    if (entries_.empty())
        return true;
    auto const* const other = first(
        [&](entry const& candidate)
        {
            return candidate.request.ticket != it.request.ticket &&
                   !candidate.is_passed;
        },
        now);
    return other == nullptr || rank_of(it, now) < rank_of(*other, now);
}

std::optional<std::uint64_t>
waiting_room::next(std::span<std::uint64_t const> asked, steady_time now)
{
    mark_overdue(now);
    auto const* const found = first(
        [&](entry const& it)
        {
            return std::find(asked.begin(), asked.end(), it.request.ticket) ==
                   asked.end();
        },
        now);
    if (found == nullptr)
        return std::nullopt;
    return found->request.ticket;
}

room_decision waiting_room::start(entry& it, steady_time now)
{
    auto const late = it.late;
    auto const& request = it.request;
    shares_.on_served(request.workspace, request.weight, request.work, now);
    if (entries_.contains(request.ticket))
    {
        drain_.on_started(request.work);
        if (late)
            late_.on_served(now);
        remove(request.ticket);
    }
    return send_now{late};
}

room_decision waiting_room::refuse(entry& it, std::string_view reason,
                                   capacity_offer const& offer, steady_time now)
{
    auto const delay =
        std::max(time_to_capacity(it, in_time_work_ + late_work_, offer),
                 settings_.min_retry_after);
    auto const& request = it.request;
    shares_.on_refused(request.workspace, now);
    refused_.on_refused(request.caller, it.first_arrival, now);
    if (entries_.contains(request.ticket))
    {
        if (it.late && !it.displaced)
            late_.on_refused(now);
        remove(request.ticket);
    }
    return refuse_now{reason, delay};
}

/// Whether capacity is expected while the request may wait.
bool waiting_room::is_worth_waiting(entry const& it,
                                    capacity_offer const& offer,
                                    steady_time now) const
{
    if (it.late && late_.total(now) >= min_late_count &&
        late_.served_share() < min_late_served)
        return false;
    if (entries_.contains(it.request.ticket))
        return true;
    return now + time_to_capacity(it, work_ahead_of(it), offer) <=
           it.hold_until;
}

/// Work of the waiting requests that start before this one.
double waiting_room::work_ahead_of(entry const& it) const
{
    if (it.late)
        return in_time_work_ + late_work_;
    double res = 0;
    for (auto const& [latest_start, ticket] : by_latest_start_)
    {
        if (latest_start > it.latest_start)
            break;
        if (ticket != it.request.ticket)
            res += entries_.at(ticket).request.work;
    }
    return res;
}

milliseconds waiting_room::time_to_capacity(entry const& it, double work_ahead,
                                            capacity_offer const& offer) const
{
    using ms = std::chrono::duration<double, std::milli>;
    auto res = std::chrono::duration_cast<milliseconds>(
        ms(work_ahead / drain_.tokens_per_ms(offer.tokens_per_ms)));
    res += std::max(offer.wait - it.request.max_wait, milliseconds(0));
    if (!offer.fits_memory)
        res += settings_.report_interval;
    return res;
}

/// Makes place in a full room by displacing requests that cannot be in time or,
/// if there are none, that take more work. Returns false if this one would be
/// the first to be displaced.
bool waiting_room::make_place_for(entry const& it, steady_time now)
{
    auto const cost_of = [&](entry const& e)
    {
        auto const starved = shares_.starved(e.request.workspace, now);
        return std::tuple(e.late, !starved, e.request.work);
    };
    auto const is_full = [&]
    {
        return entries_.size() - displaced_count_ >= settings_.max_waiting ||
               bytes_ + it.request.bytes > settings_.max_bytes;
    };
    while (is_full())
    {
        entry* victim = nullptr;
        for (auto& [ticket, e] : entries_)
        {
            if (!e.displaced &&
                (victim == nullptr || cost_of(*victim) < cost_of(e)))
                victim = &e;
        }
        if (victim == nullptr || cost_of(*victim) <= cost_of(it))
            return false;
        unlink(*victim);
        victim->displaced = true;
        ++displaced_count_;
        displaced_.push_back(victim->request.ticket);
    }
    return true;
}

std::vector<std::uint64_t> waiting_room::take_displaced()
{
    return std::exchange(displaced_, {});
}

void waiting_room::leave(std::uint64_t ticket, steady_time now)
{
    drain_.advance(!entries_.empty(), now);
    remove(ticket);
}

void waiting_room::insert(entry const& it)
{
    link(it);
    auto const ticket = it.request.ticket;
    entries_.emplace(ticket, it);
}

void waiting_room::remove(std::uint64_t ticket)
{
    auto const found = entries_.find(ticket);
    if (found == entries_.end())
        return;
    if (found->second.displaced)
        --displaced_count_;
    else
        unlink(found->second);
    entries_.erase(found);
    std::erase(displaced_, ticket);
}

void waiting_room::link(entry const& it)
{
    auto& own = by_workspace_[it.request.workspace];
    (it.late ? own.late : own.in_time).insert(place_of(it));
    (it.late ? late_work_ : in_time_work_) += it.request.work;
    bytes_ += it.request.bytes;
    if (!it.late)
        by_latest_start_.emplace(it.latest_start, it.request.ticket);
}

void waiting_room::unlink(entry const& it)
{
    auto const own = by_workspace_.find(it.request.workspace);
    (it.late ? own->second.late : own->second.in_time).erase(place_of(it));
    if (own->second.late.empty() && own->second.in_time.empty())
        by_workspace_.erase(own);
    (it.late ? late_work_ : in_time_work_) -= it.request.work;
    bytes_ -= it.request.bytes;
    if (!it.late)
        by_latest_start_.erase({it.latest_start, it.request.ticket});
}

void waiting_room::mark_late(entry& it)
{
    auto const waits = entries_.contains(it.request.ticket);
    if (waits)
        unlink(it);
    it.late = true;
    if (waits)
        link(it);
}

void waiting_room::mark_overdue(steady_time now)
{
    while (!by_latest_start_.empty() && by_latest_start_.begin()->first <= now)
        mark_late(entries_.at(by_latest_start_.begin()->second));
}

} // namespace endiveward::room
