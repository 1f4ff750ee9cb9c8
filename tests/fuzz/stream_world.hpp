#ifndef ENDIVEWARD_TESTS_FUZZ_STREAM_WORLD_HPP
#define ENDIVEWARD_TESTS_FUZZ_STREAM_WORLD_HPP

#include "admission/admission_queue.hpp"
#include "admission/stream_buffer.hpp"
#include "agent/internal/agent_metrics.hpp"
#include "agent/internal/call_executor.hpp"
#include "agent/internal/load_reporter.hpp"
#include "agent/tests/fakes.hpp"
#include "kernel/manual_clock.hpp"
#include "router/call_state_machine.hpp"
#include "router/i_call_listener.hpp"
#include "router/peer_channel.hpp"

#include <nlohmann/json.hpp>
#include <prometheus/registry.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::fuzz
{

using std::chrono::seconds;

/// Faults that router and agent must not have. Each is planted at an interface
/// between the parts, where it has the same effect as a fault inside.
enum class planted_fault : std::uint8_t
{
    none,
    /// The agent's buffer drops a chunk that arrives when it is full.
    full_buffer_drops,
    /// The answer of an engine that broke off counts as complete.
    broken_answer_is_complete,
    /// An invoke that was written before the connection broke counts as never
    /// sent.
    lost_invoke_is_not_sent,
    /// Events of an earlier leg count for the current one.
    late_events_count
};

/// What the runs of a property have exercised, so that it cannot hold for lack
/// of events.
struct coverage
{
    std::size_t starts = 0;
    std::size_t cuts = 0;
    std::size_t resumes = 0;
    std::size_t retries = 0;
    std::size_t repeated = 0;
    std::size_t dropped = 0;
    std::size_t paused = 0;
    std::size_t engine_failures = 0;
    std::size_t completed = 0;
    std::size_t completed_after_resume = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t abandoned = 0;
};

inline coverage& covered()
{
    static coverage counts;
    return counts;
}

/// What must hold for one request of a caller.
class request_oracle
{
public:
    explicit request_oracle(bool idempotent)
        : idempotent_(idempotent)
    {
    }

    /// The endpoint got the request; gives the number of the run.
    std::size_t on_start()
    {
        ++covered().starts;
        RC_ASSERT(!claimed_not_run_);
        RC_ASSERT(idempotent_ || outputs_.empty());
        outputs_.emplace_back();
        complete_.push_back(false);
        return outputs_.size() - 1;
    }
    void on_output(std::size_t run, std::string const& bytes)
    {
        outputs_.at(run) += bytes;
    }
    void on_whole_output(std::size_t run) { complete_.at(run) = true; }
    /// The caller has received this much of the answer.
    void on_received(std::string const& text) const
    {
        bool const is_prefix =
            text.empty() ||
            std::any_of(outputs_.begin(), outputs_.end(),
                        [&](auto const& it) { return it.starts_with(text); });
        RC_ASSERT(is_prefix);
    }
    void on_complete(std::string const& text) const
    {
        bool found = false;
        for (std::size_t n = 0; n < outputs_.size(); ++n)
            found = found || (complete_[n] && outputs_[n] == text);
        RC_ASSERT(found);
    }
    void on_not_run()
    {
        RC_ASSERT(outputs_.empty());
        claimed_not_run_ = true;
    }

private:
    bool const idempotent_;
    bool claimed_not_run_ = false;
    std::vector<std::string> outputs_;
    std::vector<bool> complete_;
};

/// A buffer that loses what does not fit.
class dropping_buffer : public admission::stream_buffer
{
public:
    using admission::stream_buffer::stream_buffer;

    std::uint64_t append(std::string bytes) override
    {
        if (full())
            return next();
        return admission::stream_buffer::append(std::move(bytes));
    }
};

/// An endpoint whose progress the property decides.
class scripted_endpoint : public agent::fake_endpoint
{
public:
    struct run
    {
        std::uint64_t id = 0;
        agent::i_endpoint_observer* observer = nullptr;
        std::shared_ptr<request_oracle> oracle;
        std::string name;
        /// Set when the endpoint has the request.
        std::optional<std::size_t> number;
        std::size_t parts = 0;
    };

    std::function<std::shared_ptr<request_oracle>(std::string const&)> find;
    bool broken_is_complete = false;

    void start(std::uint64_t id, agent::endpoint_request request,
               agent::i_endpoint_observer& observer) override
    {
        auto const name =
            nlohmann::json::parse(request.body).at("prompt").get<std::string>();
        runs_.push_back({id, &observer, find(name), name, {}, 0});
    }
    void pause(std::uint64_t id) override
    {
        ++covered().paused;
        agent::fake_endpoint::pause(id);
    }
    void cancel(std::uint64_t id) override
    {
        std::erase_if(runs_, [&](run const& it) { return it.id == id; });
    }

    void connect(std::size_t which)
    {
        if (auto* const it = at(which); it != nullptr && !it->number)
            it->number = it->oracle->on_start();
    }
    /// Parts that were received before a pause still arrive.
    void produce(std::size_t which, bool despite_pause)
    {
        auto* const it = at(which);
        if (it == nullptr || !it->number ||
            (!despite_pause && paused.contains(it->id)))
            return;
        auto const bytes = "data: " + it->name + " run " +
                           std::to_string(*it->number) + " part " +
                           std::to_string(it->parts++) + "\n\n";
        it->oracle->on_output(*it->number, bytes);
        it->observer->on_chunk(it->id, bytes);
    }
    void finish(std::size_t which)
    {
        auto* const it = at(which);
        if (it == nullptr || !it->number || paused.contains(it->id))
            return;
        it->oracle->on_whole_output(*it->number);
        end(*it, {});
    }
    /// Before the request was sent the failure is certainly not run.
    void fail(std::size_t which)
    {
        auto* const it = at(which);
        if (it == nullptr)
            return;
        ++covered().engine_failures;
        bool const sent = it->number.has_value();
        if (sent && broken_is_complete)
            return end(*it, {});
        end(*it, kernel::error{sent ? kernel::error_kind::stream_interrupted
                                    : kernel::error_kind::connection_lost,
                               "the endpoint broke off",
                               sent ? kernel::run_state::unknown
                                    : kernel::run_state::not_run,
                               {}});
    }
    void crash()
    {
        // Calls that start meanwhile meet the restarted engine.
        auto const failing = runs_.size();
        for (std::size_t n = 0; n < failing && !runs_.empty(); ++n)
            fail(0);
    }

private:
    run* at(std::size_t which)
    {
        return runs_.empty() ? nullptr : &runs_[which % runs_.size()];
    }
    void end(run const& which, std::optional<kernel::error> failure)
    {
        auto const ended = which;
        cancel(ended.id);
        agent::endpoint_result result;
        result.failure = std::move(failure);
        result.http_status = 200;
        ended.observer->on_end(ended.id, result);
    }

    std::vector<run> runs_;
};

/// A connection between the router and an agent. Messages wait in queues until
/// the property moves them.
struct link
{
    struct unsent_message
    {
        wire::message msg;
        wire::write_handler handler;
    };

    class router_end : public wire::i_connection
    {
        link& link_;

    public:
        explicit router_end(link& owner)
            : link_(owner)
        {
        }
        wire::hello const& peer() const override { return peer_; }
        bool is_open() const override { return link_.router_open; }
        void close() override {}
        void send(wire::message const& msg,
                  wire::write_handler handler) override
        {
            if (link_.router_open)
                link_.unsent.push_back({msg, std::move(handler)});
            else if (handler)
                handler(wire::write_outcome::not_started);
        }

    private:
        wire::hello peer_;
    };

    class agent_end : public wire::i_connection
    {
        link& link_;

    public:
        explicit agent_end(link& owner)
            : link_(owner)
        {
        }
        wire::hello const& peer() const override { return peer_; }
        bool is_open() const override { return link_.agent_open; }
        void close() override {}
        void send(wire::message const& msg, wire::write_handler) override
        {
            // A router that is gone receives nothing.
            if (link_.router_open)
                link_.to_router.push_back(msg);
        }

    private:
        wire::hello peer_;
    };

    link()
        : channel(std::make_shared<router::peer_channel>(
              std::make_shared<router_end>(*this)))
        , at_agent(std::make_shared<agent_end>(*this))
    {
    }

    /// Hands waiting messages to the operating system.
    void write()
    {
        while (!unsent.empty())
        {
            auto const next = std::move(unsent.front());
            unsent.pop_front();
            to_agent.push_back(next.msg);
            if (next.handler)
                next.handler(wire::write_outcome::written);
        }
    }

    /// Written messages may still reach the agent until it notices.
    void cut(bool in_a_message, bool claim_not_sent)
    {
        if (!router_open)
            return;
        ++covered().cuts;
        router_open = false;
        to_router.clear();
        if (claim_not_sent)
        {
            for (auto const& it : unsent)
                to_agent.push_back(it.msg);
        }
        auto const lost = std::move(unsent);
        unsent.clear();
        for (auto const& it : lost)
        {
            if (it.handler)
                it.handler(in_a_message && !claim_not_sent
                               ? wire::write_outcome::uncertain
                               : wire::write_outcome::not_started);
            in_a_message = false;
        }
        channel->on_lost();
    }

    bool router_open = true;
    bool agent_open = true;
    std::deque<unsent_message> unsent;
    std::deque<wire::message> to_agent;
    std::deque<wire::message> to_router;
    std::shared_ptr<router::peer_channel> channel;
    std::shared_ptr<wire::i_connection> at_agent;
};

/// An agent with its endpoint and its connections to the router.
struct agent_process
{
    static constexpr std::size_t buffer_bytes = 64;

    agent_process(std::shared_ptr<kernel::manual_clock> const& clock,
                  planted_fault kind, std::string const& name)
        : queue(std::make_shared<admission::admission_queue>(*clock, 4))
        , load(std::make_shared<agent::load_reporter>(queue, 5, 16))
    {
        endpoint->broken_is_complete =
            kind == planted_fault::broken_answer_is_complete;
        agent::call_executor_dependencies dependencies;
        dependencies.clock = clock;
        dependencies.queue = queue;
        dependencies.ledger = std::make_shared<agent::fake_ledger>();
        dependencies.cache_index = std::make_shared<agent::fake_cache_index>();
        dependencies.configuration =
            std::make_shared<agent::fake_config_state>();
        dependencies.endpoint = endpoint;
        dependencies.load = load;
        dependencies.metrics = std::make_shared<agent::agent_metrics>(
            std::make_shared<prometheus::Registry>());
        dependencies.make_buffer =
            [kind]() -> std::unique_ptr<admission::i_stream_buffer>
        {
            if (kind == planted_fault::full_buffer_drops)
                return std::make_unique<dropping_buffer>(buffer_bytes);
            return std::make_unique<admission::stream_buffer>(buffer_bytes);
        };
        dependencies.cache_salt = [](wire::invoke const&) { return "salt"; };
        executor.emplace(dependencies, agent::endpoint_identity{
                                           kernel::endpoint_id(name), {}});
        report_engine();
    }

    void report_engine()
    {
        agent::engine_load report;
        report.incarnation = ++engine_incarnation;
        report.capacity = 2;
        report.models = {{kernel::model_id("m"), kernel::model_version("v")}};
        load->update_engine_load(report);
    }

    link* open_link() const
    {
        if (links.empty() || !links.back()->router_open)
            return nullptr;
        return links.back().get();
    }

    void deliver(link& from, bool repeat)
    {
        if (!from.agent_open || from.to_agent.empty())
            return;
        auto const msg = std::move(from.to_agent.front());
        from.to_agent.pop_front();
        auto const before = executor->open_calls();
        receive(from, msg);
        // A connection never repeats a message; the router repeats an invoke
        // only to the agent that accepted it.
        if (!repeat || (std::holds_alternative<wire::invoke>(msg) &&
                        executor->open_calls() == before))
            return;
        ++covered().repeated;
        receive(from, msg);
    }

    void receive(link const& from, wire::message const& msg)
    {
        if (auto const* const it = std::get_if<wire::invoke>(&msg))
            executor->on_invoke(from.at_agent, *it);
        if (auto const* const it = std::get_if<wire::chunk_ack>(&msg))
            executor->on_ack(from.at_agent, *it);
        if (auto const* const it = std::get_if<wire::cancel>(&msg))
            executor->on_cancel(from.at_agent, *it);
        if (auto const* const it = std::get_if<wire::resume>(&msg))
            executor->on_resume(from.at_agent, *it);
    }

    static void deliver_to_router(link& from, bool repeat)
    {
        if (from.to_router.empty())
            return;
        auto const msg = std::move(from.to_router.front());
        from.to_router.pop_front();
        dispatch(from, msg);
        if (!repeat)
            return;
        ++covered().repeated;
        dispatch(from, msg);
    }

    static void dispatch(link const& from, wire::message const& msg)
    {
        if (auto const* const it = std::get_if<wire::verdict>(&msg))
            from.channel->dispatch(*it);
        if (auto const* const it = std::get_if<wire::chunk>(&msg))
            from.channel->dispatch(*it);
        if (auto const* const it = std::get_if<wire::call_end>(&msg))
            from.channel->dispatch(*it);
    }

    void notice_cuts()
    {
        for (auto const& it : links)
        {
            if (it->router_open || !it->agent_open)
                continue;
            it->agent_open = false;
            it->to_agent.clear();
            executor->on_connection_closed(it->at_agent);
        }
    }

    std::shared_ptr<admission::admission_queue> queue;
    std::shared_ptr<agent::load_reporter> load;
    std::shared_ptr<scripted_endpoint> endpoint =
        std::make_shared<scripted_endpoint>();
    std::optional<agent::call_executor> executor;
    kernel::incarnation engine_incarnation = 0;
    /// Oldest first; kept because the agent may still use them.
    std::vector<std::unique_ptr<link>> links;
};

constexpr std::size_t agent_count = 2;

using agent_array = std::array<std::unique_ptr<agent_process>, agent_count>;

/// A caller's request and the router's part of it: performs the actions of the
/// call machine as `router::call_relay` does.
class caller : public router::i_call_listener,
               public std::enable_shared_from_this<caller>
{
    kernel::manual_clock const& clock_;
    agent_array& agents_;

public:
    static constexpr seconds timeout{40};

    caller(kernel::manual_clock const& clock, agent_array& agents,
           planted_fault kind, std::uint64_t number, bool streaming,
           bool idempotent)
        : clock_(clock)
        , agents_(agents)
        , kind_(kind)
        , number_(number)
        , streaming_(streaming)
        , idempotent_(idempotent)
        , machine_({streaming, idempotent, 3, 3}, [] { return true; })
        , deadline_(clock.now() + timeout)
        , oracle_(std::make_shared<request_oracle>(idempotent))
    {
    }

    void start() { perform_all(machine_.start()); }
    std::shared_ptr<request_oracle> const& oracle() const { return oracle_; }
    bool finished() const { return machine_.finished(); }

    void on_call_event(router::call_event event) override
    {
        events_.push_back(std::move(event));
    }
    void run_events()
    {
        while (!events_.empty())
        {
            auto event = std::move(events_.front());
            events_.pop_front();
            handle(std::move(event));
        }
    }
    void read()
    {
        if (unread_)
            handle(router::caller_write_completed{*unread_});
        unread_.reset();
    }
    void leave() { handle(router::caller_disconnected{}); }
    void expire_verdict_timer()
    {
        handle(router::verdict_timer_expired{machine_.leg()});
    }
    void expire_resume_timer()
    {
        if (pending_resume_)
            handle(router::resume_failed{pending_resume_->leg});
    }
    void check_deadline()
    {
        if (clock_.now() >= deadline_)
            handle(router::deadline_expired{});
    }
    void on_connected(std::size_t agent)
    {
        if (pending_resume_ && index_of(pending_resume_->endpoint) == agent)
            send_pending_resume();
    }

private:
    static std::size_t index_of(kernel::endpoint_id const& endpoint)
    {
        return std::stoul(endpoint.str());
    }

    void handle(router::call_event event)
    {
        if (kind_ == planted_fault::late_events_count)
            std::visit(
                [&](auto& it)
                {
                    if constexpr (requires { it.leg; })
                        it.leg = machine_.leg();
                },
                event);
        auto const dropped = machine_.dropped();
        perform_all(machine_.handle(std::move(event)));
        covered().dropped += machine_.dropped() - dropped;
    }

    void perform_all(router::call_state_machine::actions actions)
    {
        for (auto& it : actions)
            std::visit([this](auto& action) { perform(action); }, it);
    }

    void perform(router::choose_endpoint& action)
    {
        leave_channel();
        for (std::size_t n = 0; n < agent_count; ++n)
        {
            kernel::endpoint_id const id(
                std::to_string((number_ + n) % agent_count));
            if (std::ranges::find(action.excluded, id) == action.excluded.end())
                return handle(router::endpoint_chosen{id});
        }
        handle(router::no_endpoint_chosen{
            {kernel::error_kind::no_eligible_endpoint,
             "none",
             kernel::run_state::not_run,
             {}}});
    }
    void perform(router::send_invoke& action)
    {
        if (machine_.attempts() > 1)
            ++covered().retries;
        ++stream_;
        if (!open(index_of(action.endpoint), action.leg))
            return on_call_event(router::invoke_written{
                action.leg, wire::write_outcome::not_started});
        wire::invoke msg;
        msg.call_id = call_id_;
        msg.stream_id = {number_, stream_};
        msg.workspace = kernel::workspace_id("w");
        msg.model = kernel::model_id("m");
        msg.version = kernel::model_version("v");
        msg.method = "POST";
        msg.path = "/v1/completions";
        msg.body = R"({"prompt":")" + std::to_string(number_) + R"("})";
        msg.streaming = streaming_;
        msg.idempotent = idempotent_;
        msg.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline_ - clock_.now());
        msg.config_version = 1;
        channel_->send(
            msg,
            [weak = weak_from_this(), leg = action.leg](auto outcome)
            {
                if (auto const self = weak.lock())
                    self->on_call_event(router::invoke_written{leg, outcome});
            });
    }
    void perform(router::send_resume& action)
    {
        leave_channel();
        pending_resume_ = action;
        if (agents_.at(index_of(action.endpoint))->open_link() != nullptr)
            send_pending_resume();
    }
    void send_pending_resume()
    {
        auto const what = *std::exchange(pending_resume_, std::nullopt);
        if (what.leg != machine_.leg() || finished())
            return;
        if (!open(index_of(what.endpoint), what.leg))
            return;
        ++covered().resumes;
        resumed_ = true;
        channel_->send(wire::resume{call_id_, {number_, stream_}, what.next});
    }
    void perform(router::send_cancel&)
    {
        if (channel_)
            channel_->send(wire::cancel{call_id_});
    }
    void perform(router::send_ack& action)
    {
        if (channel_)
            channel_->send(wire::chunk_ack{call_id_, action.next});
    }
    void perform(router::forward_chunk& action)
    {
        received_ += action.bytes;
        oracle_->on_received(received_);
        unread_ = action.next;
    }
    void perform(router::buffer_chunk& action)
    {
        received_ += action.bytes;
        oracle_->on_received(received_);
    }
    void perform(router::discard_buffered&) { received_.clear(); }
    void perform(router::finish_stream&) { complete(); }
    void perform(router::finish_buffered&) { complete(); }
    void perform(router::finish_error& action)
    {
        leave_channel();
        if (action.failure.run != kernel::run_state::not_run)
        {
            ++covered().unknown;
            return;
        }
        ++covered().not_run;
        oracle_->on_not_run();
    }
    void perform(router::abandon&)
    {
        ++covered().abandoned;
        leave_channel();
    }
    void perform(router::catch_up&) {}
    void perform(router::start_verdict_timer&) {}
    void perform(router::mark_endpoint_suspect&) {}
    void perform(router::release_endpoint&) {}

    void complete()
    {
        ++covered().completed;
        if (resumed_)
            ++covered().completed_after_resume;
        oracle_->on_complete(received_);
        leave_channel();
    }

    bool open(std::size_t agent, router::leg_number leg)
    {
        auto const* const found = agents_.at(agent)->open_link();
        if (found == nullptr)
            return false;
        channel_ = found->channel;
        auto const id = channel_->open_call(weak_from_this(), leg);
        if (!id)
            channel_.reset();
        call_id_ = id.value_or(0);
        return id.has_value();
    }
    void leave_channel()
    {
        pending_resume_.reset();
        if (channel_)
            channel_->close_call(call_id_);
        channel_.reset();
    }

    planted_fault const kind_;
    std::uint64_t const number_;
    bool const streaming_;
    bool const idempotent_;
    router::call_state_machine machine_;
    kernel::steady_time const deadline_;
    std::shared_ptr<request_oracle> oracle_;
    std::deque<router::call_event> events_;
    std::shared_ptr<router::peer_channel> channel_;
    std::uint64_t call_id_ = 0;
    std::uint64_t stream_ = 0;
    std::optional<router::send_resume> pending_resume_;
    bool resumed_ = false;
    std::optional<std::uint64_t> unread_;
    std::string received_;
};

/// A router, its callers and two agents.
class stream_world
{
public:
    explicit stream_world(planted_fault kind)
        : kind_(kind)
    {
        for (std::size_t n = 0; n < agent_count; ++n)
        {
            agents.at(n) =
                std::make_unique<agent_process>(clock, kind, std::to_string(n));
            agents.at(n)->endpoint->find = [this](std::string const& name)
            { return callers.at(std::stoul(name))->oracle(); };
            connect(n);
        }
    }

    void submit(bool streaming, bool idempotent)
    {
        callers.push_back(std::make_shared<caller>(
            *clock, agents, kind_, callers.size(), streaming, idempotent));
        callers.back()->start();
    }
    void connect(std::size_t agent)
    {
        auto& process = *agents.at(agent);
        if (process.open_link() != nullptr)
            return;
        process.links.push_back(std::make_unique<link>());
        for (auto const& it : callers)
            it->on_connected(agent);
    }
    void cut(std::size_t agent, bool in_a_message)
    {
        if (auto* const it = agents.at(agent)->open_link())
            it->cut(in_a_message,
                    kind_ == planted_fault::lost_invoke_is_not_sent);
    }
    void run_events()
    {
        for (auto const& it : callers)
            it->run_events();
    }
    /// Moves what waits in one connection, in both directions.
    void flow(std::size_t agent)
    {
        auto& process = *agents.at(agent);
        for (auto const& it : process.links)
        {
            it->write();
            while (it->agent_open && !it->to_agent.empty())
                process.deliver(*it, false);
            while (!it->to_router.empty())
                agent_process::deliver_to_router(*it, false);
        }
        run_events();
    }
    void advance(std::chrono::milliseconds step)
    {
        clock->advance(step);
        for (auto const& it : agents)
            it->executor->tick();
        for (auto const& it : callers)
            it->check_deadline();
    }
    /// No call occupies an agent for longer than its deadline.
    void check_end()
    {
        for (auto const& it : agents)
        {
            while (it->open_link() != nullptr)
                it->open_link()->cut(false, false);
            it->notice_cuts();
        }
        advance(caller::timeout);
        run_events();
        for (auto const& it : agents)
        {
            RC_ASSERT(it->executor->open_calls() == 0U);
            RC_ASSERT(it->queue->running() == 0U);
            RC_ASSERT(it->queue->queued() == 0U);
        }
        for (auto const& it : callers)
            RC_ASSERT(it->finished());
    }

    std::shared_ptr<kernel::manual_clock> clock =
        std::make_shared<kernel::manual_clock>();
    agent_array agents;
    std::vector<std::shared_ptr<caller>> callers;

private:
    planted_fault const kind_;
};

} // namespace endiveward::fuzz

#endif
