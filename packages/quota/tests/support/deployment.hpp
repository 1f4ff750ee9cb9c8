#ifndef ENDIVEWARD_QUOTA_TESTS_DEPLOYMENT_HPP
#define ENDIVEWARD_QUOTA_TESTS_DEPLOYMENT_HPP

#include "facts/fact_relay.hpp"
#include "facts/fact_table.hpp"
#include "quota/quota_table.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace endiveward::quota
{

/// Defects that the check of the rule must find.
enum class planted_fault
{
    none,
    /// Routers do not count the use that others report.
    ignores_reports,
    /// A router uses the whole limit although it hears no other.
    ignores_silence,
    /// A router that starts takes the bucket to be full.
    starts_full,
    /// Requests that run are given back, too.
    gives_back_all,
    /// Requests count when they end.
    counts_late
};

/// What callers do after a refusal.
enum class retry_behavior
{
    none,
    /// Once, after the given time.
    once,
    /// Every few milliseconds at a random router, for some seconds.
    abusive
};

struct network_options
{
    std::chrono::milliseconds max_delay{20};
    /// Share of the messages between routers and agents that are lost.
    double loss = 0;
};

/// Routers and agents of a deployment that share limits, in simulated time. The
/// relays of reports are the agents 0 to 2.
class deployment
{
public:
    using ms = std::chrono::milliseconds;

    static constexpr ms step{10};
    /// From a router to an endpoint.
    static constexpr ms max_way{30};

    struct outcome
    {
        double offered = 0;
        double admitted = 0;
        int requests = 0;
        /// Requests that were refused at last.
        int refused = 0;
        /// Largest use of a window over its bound.
        double worst = 0;
    };

    deployment(std::size_t routers, std::uint64_t seed,
               network_options network = {},
               planted_fault fault = planted_fault::none)
        : random_(seed)
        , network_(network)
        , fault_(fault)
        , routers_(routers)
        , agents_(3)
    {
        for (std::size_t n = 0; n < routers; ++n)
            start_router(n);
    }

    /// Routers of a deployment that has been idle for a while.
    void settle()
    {
        run(ms(12000), [] {});
    }

    void set_limit(workspace_key workspace, limit const& it)
    {
        limits_[workspace] = it;
        for (auto& router : routers_)
            router.quotas->set_limits(limits_, local(router));
        auto& use = uses_[workspace];
        auto const bound = window_use(it) + tolerance(it);
        // A lower limit binds after a window. Requests that were sent before
        // are on their way to endpoints.
        use.pending_bound = bound;
        use.binds_at =
            bound < use.bound ? now_ + window + max_way + step : now_;
        if (use.binds_at == now_)
            use.bound = bound;
    }

    void kill_router(std::size_t n) { start_router(n); }

    void add_router()
    {
        routers_.emplace_back();
        start_router(routers_.size() - 1);
    }

    void kill_agent(std::size_t n)
    {
        agents_[n] = {};
        for (auto& it : routers_)
            connect(it, n);
    }

    void cut_off(std::size_t n) { routers_[n].is_cut_off = true; }

    void reconnect(std::size_t n)
    {
        routers_[n].is_cut_off = false;
        for (std::size_t agent = 0; agent < agents_.size(); ++agent)
            connect(routers_[n], agent);
    }

    /// A request arrives at a router.
    void request(workspace_key workspace, double cost, std::size_t router,
                 retry_behavior retry = retry_behavior::none)
    {
        auto& use = uses_[workspace];
        use.result.offered += cost;
        ++use.result.requests;
        attempt({workspace, cost, router, retry, now_ + ms(3000), false});
    }

    /// Calls `on_step` before each step.
    void run(ms time, std::function<void()> const& on_step)
    {
        for (auto const end = now_ + time; now_ < end; now_ += step)
        {
            on_step();
            deliver();
            for (auto& it : routers_)
                tick(it);
            pass_on();
            check();
        }
    }

    outcome const& result(workspace_key workspace) const
    {
        return uses_.at(workspace).result;
    }

    double worst() const
    {
        double res = 0;
        for (auto const& [key, it] : uses_)
            res = std::max(res, it.result.worst);
        return res;
    }

    std::mt19937_64& random() { return random_; }
    std::size_t size() const { return routers_.size(); }
    kernel::steady_time now() const { return now_; }
    std::size_t messages() const { return messages_; }
    std::size_t facts_sent() const { return facts_sent_; }

    double fraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    std::size_t any_router()
    {
        return std::uniform_int_distribution<std::size_t>(0, routers_.size() -
                                                                 1)(random_);
    }

private:
    struct router
    {
        std::unique_ptr<quota_table> quotas;
        facts::fact_table known;
        facts::fact_table sent;
        std::uint32_t revision = 0;
        kernel::steady_time next_tick{};
        /// Clocks of VMs differ.
        ms clock_offset{0};
        bool is_cut_off = false;
    };

    struct agent
    {
        facts::fact_relay relay;
        std::optional<kernel::steady_time> passes_on_at;
    };

    struct pending_request
    {
        workspace_key workspace = 0;
        double cost = 0;
        std::size_t router = 0;
        retry_behavior retry = retry_behavior::none;
        kernel::steady_time expires{};
        bool repeated = false;
    };

    struct workspace_use
    {
        std::deque<std::pair<kernel::steady_time, double>> recent;
        double in_window = 0;
        double bound = 0;
        double pending_bound = 0;
        kernel::steady_time binds_at{};
        outcome result;
    };

    ms random_time(ms max)
    {
        return ms(std::uniform_int_distribution<int>(
            1, static_cast<int>(max.count()))(random_));
    }

    kernel::steady_time local(router const& it) const
    {
        return now_ + it.clock_offset;
    }

    void start_router(std::size_t n)
    {
        auto& it = routers_[n];
        it = router();
        it.clock_offset = random_time(ms(100000));
        it.next_tick = now_ + random_time(ms(100));
        it.quotas = std::make_unique<quota_table>(n + 1, random_(), local(it));
        it.quotas->set_limits(limits_, local(it));
        // Agents report the number of routers.
        it.quotas->set_reported_routers(
            fault_ == planted_fault::ignores_silence ? 1 : routers_.size());
        if (fault_ == planted_fault::starts_full)
            it.quotas->on_fact(
                {wire::fact_kind::workspace_use, 0, 0, 0, 1, ms(9999)},
                local(it));
        for (std::size_t agent = 0; agent < agents_.size(); ++agent)
            connect(it, agent);
    }

    void connect(router& it, std::size_t agent)
    {
        if (it.is_cut_off)
            return;
        auto const index = static_cast<std::size_t>(&it - routers_.data());
        for (auto& report : facts::to_reports(it.sent.snapshot(local(it))))
            send_to_agent(std::move(report), index, agent, true);
        for (auto& report : agents_[agent].relay.snapshot(now_))
            send_to_router(std::move(report), index, true);
    }

    /// Sends a message, or not if the link is silent when it would arrive.
    void send(std::size_t router, bool reliable, std::function<void()> arrive)
    {
        if (routers_[router].is_cut_off ||
            (!reliable && fraction() < network_.loss))
            return;
        in_flight_.emplace(now_ + random_time(network_.max_delay),
                           [this, router, arrive = std::move(arrive)]
                           {
                               if (!routers_[router].is_cut_off)
                                   arrive();
                           });
    }

    void send_to_agent(wire::fact_report report, std::size_t from,
                       std::size_t agent, bool reliable)
    {
        ++messages_;
        facts_sent_ += report.facts.size();
        send(from, reliable,
             [this, agent, report = std::move(report)]
             {
                 auto& to = agents_[agent];
                 if (to.relay.on_report(report, now_) && !to.passes_on_at)
                     to.passes_on_at = now_ + ms(50);
             });
    }

    void send_to_router(wire::fact_report report, std::size_t to, bool reliable)
    {
        send(to, reliable,
             [this, to, report = std::move(report)]
             {
                 auto& it = routers_[to];
                 for (auto const& fact :
                      it.known.merge(report.facts, local(it)))
                     receive(it, fact);
             });
    }

    void receive(router& it, wire::fact const& fact) const
    {
        auto const is_use = fact.kind == wire::fact_kind::workspace_use;
        if (fault_ == planted_fault::ignores_reports && is_use)
            return;
        if (fault_ == planted_fault::ignores_silence && !is_use)
            return;
        it.quotas->on_fact(fact, local(it));
    }

    void tick(router& it)
    {
        if (now_ < it.next_tick)
            return;
        it.next_tick = now_ + ms(100);
        auto facts = it.quotas->tick(local(it));
        if (facts.empty())
            return;
        for (auto& fact : facts)
            fact.revision = ++it.revision;
        it.known.merge(facts, local(it));
        it.sent.merge(facts, local(it));
        auto const index = static_cast<std::size_t>(&it - routers_.data());
        for (auto const& report : facts::to_reports(facts))
        {
            for (std::size_t agent = 0; agent < agents_.size(); ++agent)
                send_to_agent(report, index, agent, false);
        }
    }

    void pass_on()
    {
        for (auto& it : agents_)
        {
            if (!it.passes_on_at || now_ < *it.passes_on_at)
                continue;
            it.passes_on_at.reset();
            for (auto const& report : it.relay.take_pending(now_))
            {
                for (std::size_t n = 0; n < routers_.size(); ++n)
                    send_to_router(report, n, false);
            }
        }
    }

    void deliver()
    {
        while (!in_flight_.empty() && in_flight_.begin()->first <= now_)
        {
            auto const arrive = std::move(in_flight_.begin()->second);
            in_flight_.erase(in_flight_.begin());
            arrive();
        }
    }

    void attempt(pending_request it)
    {
        auto& router = routers_[it.router];
        auto const decision =
            router.quotas->admit(it.workspace, it.cost, local(router));
        if (std::holds_alternative<within_limit>(decision))
            return run_request(it, router);
        auto const abusive = it.retry == retry_behavior::abusive;
        auto delay = std::get<over_limit>(decision).delay;
        delay = abusive
                    ? random_time(ms(40))
                    : ms(static_cast<int>(static_cast<double>(delay.count()) *
                                          (1 + fraction() / 2)));
        if (it.retry == retry_behavior::none || (!abusive && it.repeated) ||
            now_ + delay > it.expires)
        {
            ++uses_[it.workspace].result.refused;
            return;
        }
        it.repeated = true;
        it.router = any_router();
        in_flight_.emplace(now_ + std::max(delay, ms(1)),
                           [this, it] { attempt(it); });
    }

    void run_request(pending_request const& it, router& at)
    {
        auto const arrives = now_ + random_time(max_way);
        if (fault_ == planted_fault::counts_late)
        {
            in_flight_.emplace(now_ + ms(2000),
                               [this, it]
                               {
                                   auto& at = routers_[it.router];
                                   at.quotas->on_sent(it.workspace, it.cost,
                                                      local(at));
                               });
        }
        else
        {
            auto const charge =
                at.quotas->on_sent(it.workspace, it.cost, local(at));
            if (fault_ == planted_fault::gives_back_all && charge)
                at.quotas->give_back(*charge, local(at));
        }
        in_flight_.emplace(arrives,
                           [this, it]
                           {
                               auto& use = uses_[it.workspace];
                               use.recent.emplace_back(now_, it.cost);
                               use.in_window += it.cost;
                               use.result.admitted += it.cost;
                           });
    }

    /// The rule itself.
    void check()
    {
        for (auto& [key, it] : uses_)
        {
            while (!it.recent.empty() &&
                   it.recent.front().first < now_ - window)
            {
                it.in_window -= it.recent.front().second;
                it.recent.pop_front();
            }
            if (now_ >= it.binds_at)
                it.bound = it.pending_bound;
            it.result.worst =
                std::max(it.result.worst, it.in_window / it.bound);
        }
    }

    std::mt19937_64 random_;
    network_options network_;
    planted_fault fault_;
    kernel::steady_time now_{std::chrono::seconds(1000)};
    limits_by_workspace limits_;
    std::vector<router> routers_;
    std::vector<agent> agents_;
    std::multimap<kernel::steady_time, std::function<void()>> in_flight_;
    std::map<workspace_key, workspace_use> uses_;
    std::size_t messages_ = 0;
    std::size_t facts_sent_ = 0;
};

} // namespace endiveward::quota

#endif
