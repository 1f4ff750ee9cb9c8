#ifndef ENDIVEWARD_ROOM_TESTS_SUPPORT_FLEET_REPLAY_HPP
#define ENDIVEWARD_ROOM_TESTS_SUPPORT_FLEET_REPLAY_HPP

#include "room/waiting_room.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace endiveward::room
{

using std::chrono::milliseconds;

/// One kind of requests, with the figures of deployment E.
struct request_kind
{
    milliseconds target{0};
    milliseconds deadline{0};
    std::uint32_t work = 0;
    std::uint32_t memory = 0;
    int priority = 0;
};

constexpr request_kind long_stream{milliseconds(2000), milliseconds(15000),
                                   6610, 12300, 2};
constexpr request_kind short_stream{milliseconds(500), milliseconds(3000), 1800,
                                    2700, 0};

struct replay_result
{
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int rejected_by_engine = 0;

    int all() const { return in_time + late + refused; }
    double served_share() const
    {
        return static_cast<double>(in_time + late) / std::max(all(), 1);
    }
    /// A late answer has half the value of one in time.
    double value() const { return in_time + late / 2.0; }
};

/// Replays arrivals at a fleet of routers and engines without a network, in
/// steps of some milliseconds. Routers know engines from reports that are up to
/// 200 ms old and from their own requests since. A refused caller returns once.
class fleet_replay
{
public:
    struct arrival
    {
        request_kind kind;
        std::uint64_t workspace = 0;
        /// Its routers get the request.
        std::size_t zone = 0;
        /// Times that the caller returns after refusals.
        int returns = 1;
        /// Whether the caller returns at once instead of after `Retry-After`.
        bool abusive = false;
    };
    /// Returns the arrivals of the step at this time.
    using load = std::function<std::vector<arrival>(milliseconds)>;

    static constexpr milliseconds step{5};
    static constexpr std::size_t zones = 4;
    static constexpr double tokens_per_ms = 45;

    fleet_replay(std::size_t routers, std::size_t engines, bool with_room)
        : with_room_(with_room)
        , routers_(routers)
        , engines_(engines)
    {
        for (auto& it : routers_)
            it.views.resize(engines);
    }

    /// Tokens that the fleet processes in one step.
    double tokens_per_step() const
    {
        return tokens_per_ms * step.count() *
               static_cast<double>(engines_.size());
    }
    void set_available(std::size_t engine, bool value)
    {
        engines_[engine].available = value;
    }

    /// Kills all routers. Each knows nothing of the engines until their next
    /// reports. Callers whose requests waited return as if refused.
    void restart()
    {
        for (auto& it : routers_)
        {
            for (auto const& [ticket, who] : it.waiting)
                refuse(who.who, step);
            it = router();
            it.views.resize(engines_.size());
        }
    }

    void run(milliseconds duration, load const& arrivals,
             std::function<void(milliseconds)> const& on_step = {})
    {
        auto const end = now_ + duration;
        for (; now_ < end; now_ += step)
        {
            if (on_step)
                on_step(now_);
            report();
            for (auto const& it : arrivals(now_))
                arrive({it, ++last_caller_, now_, 0});
            while (!returning_.empty() && returning_.begin()->first <= now_)
            {
                auto const it = returning_.begin()->second;
                returning_.erase(returning_.begin());
                arrive(it);
            }
            for (auto& it : routers_)
                dispatch(it);
        }
    }

    replay_result total() const
    {
        replay_result res;
        for (auto const& [workspace, it] : by_workspace_)
        {
            res.in_time += it.in_time;
            res.late += it.late;
            res.refused += it.refused;
            res.rejected_by_engine += it.rejected_by_engine;
        }
        return res;
    }
    replay_result of_workspace(std::uint64_t workspace)
    {
        return by_workspace_[workspace];
    }
    replay_result of_short() const { return short_; }
    std::size_t most_waiting() const { return most_waiting_; }
    milliseconds longest_retry_after() const { return longest_retry_after_; }

private:
    struct caller : arrival
    {
        std::uint64_t id = 0;
        milliseconds first{0};
        int attempts = 0;
    };

    struct engine
    {
        milliseconds free_at{0};
        std::deque<std::pair<milliseconds, std::uint32_t>> held;
        std::uint64_t memory = 0;
        bool available = true;
    };

    struct view
    {
        milliseconds free_at{0};
        double memory = 0;
        bool available = true;
        /// This router's draw for a share of what was reported free.
        double draw = 1;
        /// Requests of this router since the report.
        double own_memory = 0;
        double own_work = 0;
    };

    struct waiter
    {
        caller who;
        milliseconds arrived{0};
        milliseconds until{0};
    };

    struct router
    {
        waiting_room room;
        std::vector<view> views;
        std::map<std::uint64_t, waiter> waiting;
    };

    using ms = std::chrono::duration<double, std::milli>;

    struct offer
    {
        std::size_t engine = 0;
        milliseconds wait = milliseconds::max();
        bool fits = false;
        bool has_share = true;
    };

    static constexpr double engine_memory = 237126;
    static constexpr double reserved_memory = 0.06;
    static constexpr double max_wait_share = 0.3;
    /// Time for which a request holds memory after its first output.
    static constexpr milliseconds decode_time{2500};

    static kernel::steady_time at(milliseconds time)
    {
        return kernel::steady_time(std::chrono::seconds(1000) + time);
    }

    static milliseconds prefill(caller const& it)
    {
        return milliseconds(
            static_cast<std::int64_t>(it.kind.work / tokens_per_ms));
    }

    void report()
    {
        constexpr int interval_steps = 40;
        for (std::size_t k = 0; k < engines_.size(); ++k)
        {
            auto& it = engines_[k];
            while (!it.held.empty() && it.held.front().first <= now_)
            {
                it.memory -= it.held.front().second;
                it.held.pop_front();
            }
            if ((static_cast<std::size_t>(now_ / step) + k * 7) %
                    interval_steps !=
                0)
                continue;
            for (auto& r : routers_)
                r.views[k] = {it.free_at,
                              static_cast<double>(it.memory),
                              it.available,
                              draw(),
                              0,
                              0};
        }
    }

    double draw() { return std::uniform_real_distribution<>()(random_); }

    /// Whether the router takes its share of what all see in the same report.
    bool wins(router const& by, offer const& found, caller const& it,
              milliseconds max_wait) const
    {
        if (!by.room.is_scarce(at(now_)))
            return true;
        auto const& known = by.views[found.engine];
        auto const n = static_cast<double>(routers_.size());
        auto const memory = (1 - reserved_memory) * engine_memory -
                            known.memory + known.own_memory;
        auto const work =
            ms(max_wait - found.wait).count() * tokens_per_ms + known.own_work;
        return known.draw * it.kind.memory + known.own_memory < memory / n &&
               known.draw * it.kind.work + known.own_work < work / n;
    }

    offer look(router const& by, std::size_t k, caller const& it) const
    {
        auto const& known = by.views[k];
        offer res{k, std::max(known.free_at - now_, milliseconds(0)), false};
        auto const reserve =
            with_room_ ? std::min(known.memory, reserved_memory * engine_memory)
                       : 0;
        res.fits = known.memory + reserve + it.kind.memory <= engine_memory;
        return res;
    }

    /// The best of three engines or, with a room, of all with capacity.
    offer choose(router const& by, caller const& it, milliseconds max_wait)
    {
        offer best;
        auto const consider = [&](std::size_t k)
        {
            auto const found = look(by, k, it);
            if (by.views[k].available && found.wait < best.wait &&
                (!with_room_ || (found.fits && wins(by, found, it, max_wait))))
                best = found;
        };
        for (int n = 0; n < 3; ++n)
            consider(random_() % engines_.size());
        if (!with_room_ || best.wait <= max_wait)
            return best;
        std::vector<offer> capable;
        offer cheapest;
        for (std::size_t k = 0; k < engines_.size(); ++k)
        {
            auto const found = look(by, k, it);
            if (!by.views[k].available)
                continue;
            if (cheapest.fits < found.fits ||
                (cheapest.fits == found.fits && found.wait < cheapest.wait))
                cheapest = found;
            if (found.fits && found.wait <= max_wait &&
                wins(by, found, it, max_wait))
                capable.push_back(found);
        }
        cheapest.has_share = false;
        return capable.empty() ? cheapest : capable[random_() % capable.size()];
    }

    void arrive(caller it)
    {
        auto const per_zone = routers_.size() / zones;
        auto& by = routers_[it.zone * per_zone + random_() % per_zone];
        ++it.attempts;
        ask(by, ++last_ticket_, {it, now_, {}});
    }

    void ask(router& by, std::uint64_t ticket, waiter who)
    {
        auto const& it = who.who;
        waiting_request request;
        request.ticket = ticket;
        request.workspace = it.workspace;
        request.caller = it.id;
        request.priority = it.kind.priority;
        request.work = it.kind.work;
        request.arrived = at(who.arrived);
        request.target_at = at(who.arrived + it.kind.target);
        request.expires = at(it.first + it.kind.deadline);
        request.service_time = prefill(it);
        request.own_max_wait = std::chrono::duration_cast<milliseconds>(
            it.kind.target * max_wait_share);
        request.max_wait = request.own_max_wait;
        if (with_room_)
            request.max_wait =
                by.room.max_wait(request.own_max_wait, request.arrived,
                                 request.target_at, at(now_));
        auto const found = choose(by, it, request.max_wait);
        if (!with_room_)
        {
            if (found.wait <= request.max_wait)
                send(by, found.engine, it);
            else
                refuse(it, milliseconds(300));
            return;
        }
        auto const rate = tokens_per_ms * static_cast<double>(engines_.size()) /
                          static_cast<double>(routers_.size());
        auto const decision = by.room.decide(
            request, {found.wait, found.fits, found.has_share, rate}, at(now_));
        if (auto const* const wait = std::get_if<wait_for_capacity>(&decision))
        {
            who.until = std::chrono::duration_cast<milliseconds>(
                wait->until - at(milliseconds(0)));
            by.waiting[ticket] = who;
            return;
        }
        by.waiting.erase(ticket);
        if (auto const* const no = std::get_if<refuse_now>(&decision))
            return refuse(it, no->time_to_capacity);
        send(by, found.engine, it);
    }

    void dispatch(router& by)
    {
        most_waiting_ = std::max(most_waiting_, by.room.size());
        std::vector<std::uint64_t> due = by.room.take_displaced();
        for (auto const& [ticket, it] : by.waiting)
        {
            if (it.until <= now_)
                due.push_back(ticket);
        }
        for (auto const ticket : due)
            ask_again(by, ticket);
        std::vector<std::uint64_t> asked;
        constexpr std::size_t max_in_vain = 3;
        while (asked.size() < max_in_vain)
        {
            auto const ticket = by.room.next(asked, at(now_));
            if (!ticket)
                return;
            ask_again(by, *ticket);
            if (by.waiting.contains(*ticket))
                asked.push_back(*ticket);
        }
    }

    void ask_again(router& by, std::uint64_t ticket)
    {
        auto const found = by.waiting.find(ticket);
        if (found != by.waiting.end())
            ask(by, ticket, waiter(found->second));
    }

    void send(router& by, std::size_t k, caller const& it)
    {
        auto& target = engines_[k];
        auto& known = by.views[k];
        known.free_at = std::max(known.free_at, now_) + prefill(it);
        known.memory += it.kind.memory;
        known.own_memory += it.kind.memory;
        known.own_work += it.kind.work;
        if (!target.available ||
            static_cast<double>(target.memory) + it.kind.memory > engine_memory)
        {
            ++by_workspace_[it.workspace].rejected_by_engine;
            return refuse(it, milliseconds(300));
        }
        target.free_at = std::max(target.free_at, now_) + prefill(it);
        target.memory += it.kind.memory;
        target.held.emplace_back(target.free_at + decode_time, it.kind.memory);
        count(it, target.free_at - it.first <= it.kind.target
                      ? &replay_result::in_time
                      : &replay_result::late);
    }

    void refuse(caller const& it, milliseconds delay)
    {
        auto const accepted = (it.first + it.kind.deadline - now_) * 3 / 10;
        delay = std::min<milliseconds>(
            delay * (75 + static_cast<int>(random_() % 50)) / 100, accepted);
        longest_retry_after_ = std::max(longest_retry_after_, delay);
        if (it.abusive)
            delay = milliseconds(50);
        if (it.attempts > it.returns)
            return count(it, &replay_result::refused);
        returning_.emplace(now_ + delay, it);
    }

    void count(caller const& it, int replay_result::*field)
    {
        ++(by_workspace_[it.workspace].*field);
        if (it.kind.target == short_stream.target)
            ++(short_.*field);
    }

    bool with_room_;
    milliseconds now_{0};
    std::vector<router> routers_;
    std::vector<engine> engines_;
    std::multimap<milliseconds, caller> returning_;
    std::map<std::uint64_t, replay_result> by_workspace_;
    replay_result short_;
    std::mt19937_64 random_{1};
    std::uint64_t last_ticket_ = 0;
    std::uint64_t last_caller_ = 0;
    std::size_t most_waiting_ = 0;
    milliseconds longest_retry_after_{0};
};

} // namespace endiveward::room

#endif
