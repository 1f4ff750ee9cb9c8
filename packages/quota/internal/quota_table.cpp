#include "quota/quota_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace endiveward::quota
{

namespace
{

using kernel::steady_time;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Each statement is made after half to all of this time, at random, so that
/// those of routers that started together are spread.
constexpr milliseconds alive_interval{500};
constexpr milliseconds cleanup_interval{1000};
/// Small amounts of use are reported after this time.
constexpr milliseconds max_unreported_time{500};
/// Share of the use of a window that is reported at once, divided by the
/// number of routers, so that unreported use stays below this share.
constexpr double report_quantum = 0.02;
/// Debt may take this share of the tolerance. The rest is for use that is
/// reported late and for requests that arrive at endpoints later than sent.
constexpr double debt_share = 0.75;
/// The same while the use of the window is not known.
constexpr double unknown_debt_share = 0.25;
/// The share of a window's bound that one request may fill up if the level can
/// never suffice for it.
constexpr double window_share = 0.9;
/// All routers know of a request after this time.
constexpr milliseconds report_delay{300};
/// Routers take turns for this time after a workspace was over its limit, in
/// which its refused callers return.
constexpr milliseconds turn_time{8000};
/// The time over which a router compares its own use with that of all.
constexpr milliseconds use_comparison{2000};

double fraction_of(std::uint64_t hash)
{
    constexpr int mantissa_bits = 53;
    return std::ldexp(static_cast<double>(hash >> (64 - mantissa_bits)),
                      -mantissa_bits);
}

milliseconds time_for(double amount, double rate_per_s)
{
    auto const s = std::max(0.0, amount) / rate_per_s;
    if (s >= std::chrono::duration<double>(window).count())
        return window;
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(s));
}

} // namespace

quota_table::quota_table(std::uint64_t router, std::uint64_t start,
                         steady_time now)
    : router_(router)
    , start_(start)
    , known_since_(now)
    , told_since_(now)
{
}

void quota_table::set_limits(limits_by_workspace limits, steady_time now)
{
    for (auto& [workspace, it] : limits)
        it = admitted_limit(it);
    for (auto it = states_.begin(); it != states_.end();)
    {
        auto const found = limits.find(it->first);
        if (found == limits.end())
        {
            it = states_.erase(it);
            continue;
        }
        auto const& old = limits_.at(it->first);
        if (old != found->second)
            it->second.all.restart(
                std::min(level(old, it->second, now), found->second.burst),
                now);
        ++it;
    }
    limits_ = std::move(limits);
}

limit const* quota_table::find(workspace_key workspace) const
{
    auto const found = limits_.find(workspace);
    return found == limits_.end() ? nullptr : &found->second;
}

// Load patterns:
// - A workspace has many times its usual load: its requests are admitted as
//   the bucket refills, at whichever routers they arrive.
// - A request is larger than the bucket: it is admitted at a full bucket and
//   leaves a debt, as far as the tolerance allows.
// - Links are silent: each router takes all others to send as much as it does
//   itself. Requests that are too large for its share are refused, unless
//   those of the window leave room.
// - Callers that were refused return at once, at all routers: the moment at
//   which the bucket suffices would admit one request at each of them before
//   they know of each other. They take turns.
admission quota_table::admit(workspace_key workspace, double cost,
                             steady_time now)
{
    auto const* const it = find(workspace);
    if (it == nullptr)
        return within_limit();
    auto& state = states_[workspace];
    auto const share = census_.share(now);
    auto const level = this->level(*it, state, now);
    auto const weighted = cost / share;
    if (!fits(*it, state, weighted, level, now))
    {
        state.last_over = now;
        auto const needed = std::max(std::min(weighted, it->burst),
                                     weighted - max_debt(*it, now));
        return over_limit{plan_return(*it, state, weighted,
                                      time_for(needed - level, it->rate_per_s),
                                      now)};
    }
    if (state.last_over && now - *state.last_over < turn_time &&
        !may_take_turn(workspace, *it, state, weighted, level, now))
        return over_limit{plan_return(*it, state, weighted, report_delay, now)};
    return within_limit();
}

/// Spreads callers over the time in which there is capacity for them. Those
/// that return together would be refused again, or admitted by all routers
/// together.
milliseconds quota_table::plan_return(limit const& it, workspace_state& state,
                                      double weighted, milliseconds earliest,
                                      steady_time now) const
{
    auto const at = std::max(state.next_return, now + earliest);
    state.next_return =
        std::min(at + time_for(weighted * senders(state, now), it.rate_per_s),
                 now + window);
    return std::chrono::ceil<milliseconds>(at - now);
}

/// Number of routers that send as many requests of the workspace as this one,
/// as far as known.
double quota_table::senders(workspace_state const& state, steady_time now) const
{
    auto const heard = static_cast<double>(census_.heard(now));
    auto const used = [&](use_history const& it)
    {
        // Only of the time in which the use of all is known.
        return it.used_since(now - use_comparison) -
               it.used_since(now - report_delay);
    };
    auto const own = used(state.own);
    return own > 0 ? std::clamp(used(state.all) / own, 1.0, heard) : heard;
}

bool quota_table::fits(limit const& it, workspace_state const& state,
                       double weighted, double level, steady_time now) const
{
    auto const max_debt = this->max_debt(it, now);
    if (level >= std::min(weighted, it.burst) && level - weighted >= -max_debt)
        return true;
    return weighted > it.burst + max_debt && known_since_ <= now - window &&
           !state.all.restarted_since(now - window) &&
           state.all.used_since(now - window) + weighted <=
               window_share * (window_use(it) + remaining_tolerance(it));
}

/// If all routers and agents were killed, the tolerance may have been used up
/// before.
double quota_table::max_debt(limit const& it, steady_time now) const
{
    auto const known = known_since_ <= now - window;
    return remaining_tolerance(it) * (known ? debt_share : unknown_debt_share);
}

/// Whether the routers that send requests of this workspace may all do what
/// this one does now, before they know of each other.
bool quota_table::may_take_turn(workspace_key workspace, limit const& it,
                                workspace_state& state, double weighted,
                                double level, steady_time now)
{
    if (census_.heard(now) <= 1)
        return true;
    auto const recent = state.own.used_since(now - report_delay);
    auto const senders = this->senders(state, now);
    auto const room = level + max_debt(it, now);
    // A request that is larger than this router's part is left to chance.
    if (recent + weighted <= room / 2 / senders)
        return true;
    if (recent > 0)
        return false;
    if (!state.drawn_at || now - *state.drawn_at >= report_delay)
    {
        state.drawn_at = now;
        state.drawn = draw(workspace);
    }
    // So many requests are expected that their number, with four times its
    // standard deviation, has room.
    auto const n = room / weighted;
    auto const expected = std::pow(std::sqrt(4 + n) - 2, 2);
    return state.drawn < expected / senders;
}

std::optional<charge> quota_table::on_sent(workspace_key workspace, double cost,
                                           steady_time now)
{
    if (find(workspace) == nullptr)
        return std::nullopt;
    auto& state = states_[workspace];
    charge const res{workspace, cost, 1 / census_.share(now), now,
                     source_at(now)};
    add_use(state, now, cost, 1 / res.weight);
    state.own.add(now, res.cost * res.weight);
    auto const [found, added] = state.own_by_source.try_emplace(res.source);
    if (added)
        found->second.first = now;
    found->second.change(cost, now);
    return res;
}

void quota_table::give_back(charge const& it, steady_time now)
{
    auto const found = states_.find(it.workspace);
    if (found == states_.end())
        return;
    auto& state = found->second;
    auto const source = state.own_by_source.find(it.source);
    // After the horizon it counts nowhere.
    if (source == state.own_by_source.end())
        return;
    // Others may have been heard again since.
    auto const share = std::max(1 / it.weight, state.assumed_at_share);
    add_use(state, it.at, -it.cost, share);
    state.own.add(it.at, -it.cost * it.weight);
    source->second.change(-it.cost, now);
}

void quota_table::own_use::change(double by, steady_time now)
{
    amount += by;
    if (!unreported_since)
        unreported_since = now;
}

void quota_table::on_fact(wire::fact const& it, steady_time now)
{
    auto const stated_at = now - it.age;
    if (it.kind == wire::fact_kind::process_alive)
    {
        if (it.key != router_)
            census_.on_alive(it.key, it.age, now);
        return;
    }
    // An agent knows the facts of the time before, too.
    told_since_ = std::min(told_since_, stated_at);
    if (it.kind != wire::fact_kind::workspace_use || find(it.key) == nullptr ||
        !std::isfinite(it.value))
        return;
    auto& state = states_[it.key];
    if (state.own_by_source.contains(it.source))
        return;
    auto& known = state.others[it.source];
    add_use(state, stated_at, it.value - known.amount, census_.share(now));
    known = {it.value, now};
}

std::vector<wire::fact> quota_table::tick(steady_time now)
{
    census_.tick(now);
    // By now the other messages of a snapshot have arrived, too.
    known_since_ = std::min(known_since_, std::exchange(told_since_, now));
    update_share(now);
    if (now - last_cleanup_ >= cleanup_interval)
        forget_expired(now);
    struct candidate
    {
        double amount = 0;
        wire::fact fact;
        own_use* use = nullptr;
    };
    std::vector<candidate> news;
    auto const routers = static_cast<double>(census_.known(now));
    for (auto& [workspace, state] : states_)
    {
        auto const quantum =
            report_quantum * window_use(limits_.at(workspace)) / routers;
        for (auto& [source, use] : state.own_by_source)
        {
            if (!use.unreported_since)
                continue;
            auto const amount = std::abs(use.amount - use.reported);
            if (amount < quantum &&
                now - *use.unreported_since < max_unreported_time)
                continue;
            news.push_back({amount,
                            {wire::fact_kind::workspace_use,
                             workspace,
                             source,
                             use.amount,
                             0,
                             {}},
                            &use});
        }
    }
    auto const n = std::min(news.size(), max_reported);
    std::partial_sort(
        news.begin(), news.begin() + static_cast<std::ptrdiff_t>(n), news.end(),
        [](auto const& a, auto const& b) { return a.amount > b.amount; });
    news.resize(n);
    std::vector<wire::fact> res;
    for (auto const& it : news)
    {
        it.use->reported = it.use->amount;
        it.use->unreported_since.reset();
        res.push_back(it.fact);
    }
    if (now >= next_alive_)
    {
        next_alive_ = now + alive_interval / 2 +
                      std::chrono::duration_cast<milliseconds>(
                          alive_interval / 2 * draw(router_));
        res.push_back(
            {wire::fact_kind::process_alive, router_, start_, 1, 0, {}});
    }
    return res;
}

// Load pattern: links fail while a workspace is over its limit. Until that is
// noticed, each router uses the whole limit. The others are then taken to have
// used as much as this one in the meantime. When they are heard again, they
// state what they used in fact.
void quota_table::update_share(steady_time now)
{
    auto const share = census_.share(now);
    auto const before = std::exchange(share_, share);
    auto const since = now - census_.unnoticed_time();
    for (auto& [workspace, state] : states_)
    {
        if (share < before)
        {
            auto const unnoticed =
                state.all.used_since(since) * (before / share - 1);
            state.all.add(now, unnoticed);
            state.assumed.add(now, unnoticed);
            state.assumed_at_share = std::min(state.assumed_at_share, share);
        }
        if (share > state.assumed_at_share)
        {
            auto const kept =
                (1 / share - 1) / (1 / state.assumed_at_share - 1);
            state.all.add(state.assumed, kept - 1);
            state.assumed.scale(kept);
            state.assumed_at_share = share;
        }
    }
}

/// Routers that are not heard are taken to use as much as those that are.
void quota_table::add_use(workspace_state& state, steady_time at, double amount,
                          double share)
{
    state.all.add(at, amount / share);
    if (share == 1)
        return;
    state.assumed.add(at, amount * (1 / share - 1));
    state.assumed_at_share = std::min(state.assumed_at_share, share);
}

double quota_table::level(workspace_key workspace, steady_time now) const
{
    auto const* const it = find(workspace);
    if (it == nullptr)
        return 0;
    auto const found = states_.find(workspace);
    return level(
        *it, found == states_.end() ? workspace_state() : found->second, now);
}

double quota_table::level(limit const& it, workspace_state const& state,
                          steady_time now) const
{
    return state.all.level(it, known_since_, now);
}

/// A random number in [0, 1).
double quota_table::draw(std::uint64_t seed)
{
    std::array const words{start_, seed, ++draws_};
    return fraction_of(XXH3_64bits(words.data(), sizeof(words)));
}

std::uint64_t quota_table::source_at(steady_time now) const
{
    std::array const words{
        start_,
        static_cast<std::uint64_t>(
            std::chrono::floor<seconds>(now.time_since_epoch()).count())};
    return XXH3_64bits(words.data(), sizeof(words));
}

void quota_table::forget_expired(steady_time now)
{
    last_cleanup_ = now;
    // A fact lives for the horizon after the last change of its second.
    auto const end = now - use_history::horizon - seconds(2);
    for (auto& [workspace, state] : states_)
    {
        auto const& it = limits_.at(workspace);
        state.all.forget_expired(it, known_since_, now);
        state.own.forget_expired(it, known_since_, now);
        state.assumed.forget_expired(it, known_since_, now);
        std::erase_if(state.own_by_source,
                      [&](auto const& it) { return it.second.first < end; });
        std::erase_if(state.others,
                      [&](auto const& it) { return it.second.at < end; });
    }
    std::erase_if(states_,
                  [&](auto const& it)
                  {
                      auto const& [workspace, state] = it;
                      auto const& max = limits_.at(workspace);
                      return state.all.empty() && state.own_by_source.empty() &&
                             state.others.empty() &&
                             level(max, state, now) >= max.burst &&
                             (!state.last_over || *state.last_over < end);
                  });
}

} // namespace endiveward::quota
