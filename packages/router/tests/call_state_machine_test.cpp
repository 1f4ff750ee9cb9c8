#include "router/call_state_machine.hpp"

#include <catch2/catch.hpp>

#include <random>

namespace endiveward::router
{

namespace
{

using kernel::error_kind;
using kernel::run_state;
using wire::write_outcome;

kernel::endpoint_id const first("a");
kernel::endpoint_id const second("b");

/// A state machine that keeps the actions of its last event for inspection.
class machine_under_test
{
public:
    explicit machine_under_test(call_policy policy, std::size_t tokens = 100)
        : tokens_(tokens)
        , machine_(policy,
                   [this]
                   {
                       if (tokens_ == 0)
                           return false;
                       --tokens_;
                       return true;
                   })
    {
        keep(machine_.start());
    }

    void operator()(call_event event)
    {
        keep(machine_.handle(std::move(event)));
    }

    void choose(kernel::endpoint_id const& endpoint)
    {
        REQUIRE(has<choose_endpoint>());
        (*this)(endpoint_chosen{endpoint});
    }
    void written(write_outcome outcome)
    {
        (*this)(invoke_written{machine_.leg(), outcome});
    }
    void accept() { (*this)(verdict_received{machine_.leg(), {}}); }
    void refuse(error_kind kind, run_state run = run_state::not_run,
                kernel::config_version version = 0)
    {
        wire::verdict answer;
        answer.refusal = kernel::error{kind, "refused; retry", run, {}};
        answer.config_version = version;
        (*this)(verdict_received{machine_.leg(), answer});
    }
    void chunk(std::uint64_t number)
    {
        (*this)(chunk_received{machine_.leg(),
                               {0, number, "data: " + std::to_string(number)}});
    }
    void lose_connection() { (*this)(agent_connection_lost{machine_.leg()}); }
    void end(std::uint64_t chunks)
    {
        (*this)(call_end_received{machine_.leg(), complete_end(chunks)});
    }
    void end_failed(error_kind kind, run_state run)
    {
        wire::call_end end;
        end.failure = kernel::error{kind, "failed; retry", run, {}};
        (*this)(call_end_received{machine_.leg(), end});
    }
    static wire::call_end complete_end(std::uint64_t chunks)
    {
        wire::call_end end;
        end.chunks = chunks;
        end.outcome = wire::call_outcome::complete;
        end.http_status = 200;
        return end;
    }

    /// Whether the last event produced an action of this type.
    template <typename T>
    bool has() const
    {
        return find<T>() != nullptr;
    }
    template <typename T>
    T const& get() const
    {
        auto const* it = find<T>();
        REQUIRE(it != nullptr);
        return *it;
    }
    call_state_machine::actions const& last() const { return last_; }
    call_state_machine const& machine() const { return machine_; }

    void check_error(error_kind kind, run_state run) const
    {
        auto const& failure = get<finish_error>().failure;
        CHECK(kernel::to_string(failure.kind) == kernel::to_string(kind));
        CHECK(kernel::to_string(failure.run) == kernel::to_string(run));
        CHECK(machine_.finished());
    }

private:
    void keep(call_state_machine::actions actions)
    {
        last_ = std::move(actions);
    }

    template <typename T>
    T const* find() const
    {
        for (auto const& it : last_)
        {
            if (auto const* found = std::get_if<T>(&it))
                return found;
        }
        return nullptr;
    }

    std::size_t tokens_;
    call_state_machine machine_;
    call_state_machine::actions last_;
};

call_policy stream(bool idempotent)
{
    call_policy out;
    out.streaming = true;
    out.idempotent = idempotent;
    return out;
}

call_policy buffered(bool idempotent)
{
    call_policy out;
    out.idempotent = idempotent;
    return out;
}

} // namespace

// Guards against a refusal reaching the caller while another endpoint is free.
TEST_CASE("a definite refusal sends the call to the next endpoint")
{
    auto const kind = GENERATE(error_kind::overloaded, error_kind::draining,
                               error_kind::not_eligible);
    machine_under_test call(stream(false));
    call.choose(first);
    call.refuse(kind);
    CHECK(call.get<release_endpoint>().endpoint == first);
    REQUIRE(call.get<choose_endpoint>().excluded ==
            std::vector<kernel::endpoint_id>{first});
    call.choose(second);
    CHECK(call.get<send_invoke>().endpoint == second);
}

// Guards against a refusal that another endpoint would only repeat.
TEST_CASE("a refusal of the request itself is final")
{
    auto const kind =
        GENERATE(error_kind::invalid_request, error_kind::key_reused,
                 error_kind::deadline_exceeded, error_kind::store_unavailable);
    machine_under_test call(stream(true));
    call.choose(first);
    call.refuse(kind);
    call.check_error(kind, run_state::not_run);
}

// Guards against a second run of a call that must run once (G6).
TEST_CASE("a refusal with an unknown outcome is final if not idempotent")
{
    machine_under_test call(stream(false));
    call.choose(first);
    call.refuse(error_kind::outcome_unknown, run_state::unknown);
    call.check_error(error_kind::outcome_unknown, run_state::unknown);
}

// Guards against retries that multiply the load of an overloaded system.
TEST_CASE("without a token of the retry budget the refusal is final")
{
    machine_under_test call(stream(true), 1);
    call.choose(first);
    call.refuse(error_kind::overloaded);
    call.choose(second);
    call.refuse(error_kind::overloaded);
    call.check_error(error_kind::overloaded, run_state::not_run);
}

// Guards against more attempts than allowed.
TEST_CASE("the number of attempts is limited")
{
    machine_under_test call(stream(true));
    for (std::size_t n = 0; n < 3; ++n)
    {
        call.choose(first);
        call.refuse(error_kind::overloaded);
    }
    call.check_error(error_kind::overloaded, run_state::not_run);
    CHECK(call.machine().attempts() == 3);
}

// Guards against failing a call that was never sent.
TEST_CASE("a connection lost before the write sends any call elsewhere")
{
    auto const idempotent = GENERATE(true, false);
    machine_under_test call(stream(idempotent));
    call.choose(first);
    SECTION("the loss is reported first")
    {
        call.lose_connection();
        CHECK(call.last().empty());
        call.written(write_outcome::not_started);
    }
    SECTION("the write is reported first")
    {
        call.written(write_outcome::not_started);
    }
    CHECK(call.has<release_endpoint>());
    CHECK(call.has<choose_endpoint>());
}

// Guards against a second run after the invoke may have arrived (G6).
TEST_CASE("a connection lost after the write is not retried elsewhere if not "
          "idempotent")
{
    auto const outcome =
        GENERATE(write_outcome::written, write_outcome::uncertain);
    auto const loss_first = GENERATE(true, false);
    machine_under_test call(stream(false));
    call.choose(first);
    if (loss_first)
    {
        call.lose_connection();
        CHECK(call.last().empty());
    }
    call.written(outcome);
    if (!loss_first && outcome == write_outcome::written)
        call.lose_connection();
    // The agent may still have the answer.
    CHECK_FALSE(call.has<choose_endpoint>());
    CHECK(call.get<send_resume>().next == 0);
    SECTION("the agent cannot be reached")
    {
        call(resume_failed{call.machine().leg()});
        call.check_error(error_kind::outcome_unknown, run_state::unknown);
    }
    SECTION("the agent does not know the stream and says it never ran")
    {
        call.end_failed(error_kind::draining, run_state::not_run);
        call.check_error(error_kind::draining, run_state::unknown);
    }
    SECTION("the agent has the answer")
    {
        call.chunk(0);
        call.end(1);
        CHECK(call.has<finish_stream>());
    }
}

// Guards against an error for a call that can simply be repeated.
TEST_CASE("a connection lost after the write is retried if idempotent")
{
    machine_under_test call(stream(true));
    call.choose(first);
    call.written(write_outcome::written);
    SECTION("before the verdict") {}
    SECTION("after the verdict")
    {
        call.accept();
    }
    call.lose_connection();
    CHECK(call.has<release_endpoint>());
    CHECK(call.has<choose_endpoint>());
}

// Guards against "not run" for a call of which one attempt may have run (G5).
TEST_CASE("after an attempt with unknown outcome no refusal says not run")
{
    machine_under_test call(stream(true));
    call.choose(first);
    call.written(write_outcome::written);
    call.lose_connection();
    call.choose(second);
    SECTION("refused")
    {
        call.refuse(error_kind::invalid_request);
    }
    SECTION("no further endpoint")
    {
        call.refuse(error_kind::overloaded);
        call(no_endpoint_chosen{{error_kind::no_eligible_endpoint,
                                 "none; retry later",
                                 run_state::not_run,
                                 {}}});
    }
    call.check_error(error_kind::outcome_unknown, run_state::unknown);
}

// Guards against lost or repeated chunks after a lost connection (G2).
TEST_CASE("an interrupted stream is resumed at the next chunk")
{
    auto const idempotent = GENERATE(true, false);
    machine_under_test call(stream(idempotent));
    call.choose(first);
    call.written(write_outcome::written);
    call.accept();
    call.chunk(0);
    call.chunk(1);
    auto const old_leg = call.machine().leg();
    call.lose_connection();
    CHECK(call.get<send_resume>().next == 2);
    CHECK(call.get<send_resume>().endpoint == first);
    // A chunk that the agent repeats, and a late one from the old connection.
    call.chunk(1);
    CHECK(call.last().empty());
    call(chunk_received{old_leg, {0, 2, "data: late"}});
    CHECK(call.last().empty());
    call.chunk(2);
    CHECK(call.get<forward_chunk>().bytes == "data: 2");
    call.end(3);
    CHECK(call.has<finish_stream>());
}

// Guards against a second answer after output that was already sent.
TEST_CASE("a stream that cannot be resumed ends with an error")
{
    machine_under_test call(stream(true));
    call.choose(first);
    call.accept();
    call.chunk(0);
    call.lose_connection();
    call.written(write_outcome::written);
    call(resume_failed{call.machine().leg()});
    CHECK(call.get<finish_error>().in_stream);
    call.check_error(error_kind::stream_interrupted, run_state::unknown);
}

// Guards against a partial answer mixed with the answer of a later attempt.
TEST_CASE("a buffered answer that cannot be resumed is discarded and retried")
{
    machine_under_test call(buffered(true));
    call.choose(first);
    call.accept();
    call.chunk(0);
    CHECK(call.get<send_ack>().next == 1);
    call.written(write_outcome::written);
    call.lose_connection();
    call(resume_failed{call.machine().leg()});
    CHECK(call.has<discard_buffered>());
    call.choose(second);
    call.accept();
    call.chunk(0);
    call.end(1);
    CHECK(call.has<finish_buffered>());
}

// Guards against a gap in the chunks that is forwarded as if nothing were
// missing (G2).
TEST_CASE("a gap in the chunks is resumed, never skipped")
{
    machine_under_test call(stream(false));
    call.choose(first);
    call.accept();
    call.chunk(0);
    call.chunk(2);
    CHECK_FALSE(call.has<forward_chunk>());
    CHECK(call.get<send_resume>().next == 1);
}

// Guards against chunks that are forwarded twice.
TEST_CASE("a repeated chunk is dropped")
{
    machine_under_test call(stream(false));
    call.choose(first);
    call.accept();
    call.chunk(0);
    call.chunk(0);
    CHECK(call.last().empty());
    CHECK(call.machine().dropped() == 1);
}

// Guards against truncated output that looks complete (G2).
TEST_CASE("an end with missing chunks is never complete")
{
    machine_under_test call(stream(false));
    call.choose(first);
    call.accept();
    call.chunk(0);
    for (std::size_t n = 0; n < 3; ++n)
    {
        call.end(2);
        CHECK_FALSE(call.has<finish_stream>());
        CHECK(call.get<send_resume>().next == 1);
    }
    call.end(2);
    CHECK(call.get<finish_error>().in_stream);
    call.check_error(error_kind::stream_interrupted, run_state::unknown);
}

// Guards against an end that counts fewer chunks than were forwarded.
TEST_CASE("an end with too few chunks is an error")
{
    machine_under_test call(stream(true));
    call.choose(first);
    call.accept();
    call.chunk(0);
    call.chunk(1);
    call.end(1);
    call.check_error(error_kind::stream_interrupted, run_state::unknown);
}

// Guards against answers of an earlier attempt in a later one (G4).
TEST_CASE("messages of an earlier attempt have no effect")
{
    machine_under_test call(stream(true));
    call.choose(first);
    auto const old_leg = call.machine().leg();
    call(verdict_timer_expired{old_leg});
    CHECK(call.get<mark_endpoint_suspect>().endpoint == first);
    CHECK(call.get<send_cancel>().leg == old_leg);
    call.choose(second);
    call(verdict_received{old_leg, {}});
    call(chunk_received{old_leg, {0, 0, "data: old"}});
    call(call_end_received{old_leg, machine_under_test::complete_end(1)});
    call(agent_connection_lost{old_leg});
    call(invoke_written{old_leg, write_outcome::not_started});
    call(verdict_timer_expired{old_leg});
    CHECK(call.last().empty());
    CHECK(call.machine().dropped() == 4);
    call.accept();
    call.chunk(0);
    CHECK(call.get<forward_chunk>().bytes == "data: 0");
}

// Guards against a second run when an agent is only slow (G6).
TEST_CASE("a missing verdict ends a call that is not idempotent as unknown")
{
    machine_under_test call(stream(false));
    call.choose(first);
    call(verdict_timer_expired{call.machine().leg()});
    CHECK(call.has<mark_endpoint_suspect>());
    CHECK(call.has<send_cancel>());
    call.check_error(error_kind::outcome_unknown, run_state::unknown);
}

// Guards against a timer that ends a call after its verdict.
TEST_CASE("the verdict timer has no effect after the verdict")
{
    machine_under_test call(stream(false));
    call.choose(first);
    call.accept();
    call(verdict_timer_expired{call.machine().leg()});
    CHECK(call.last().empty());
    CHECK_FALSE(call.machine().finished());
}

// Guards against a call decided under an old configuration (G9).
TEST_CASE("a stale configuration is caught up and the call evaluated again")
{
    machine_under_test call(stream(false), 0);
    call.choose(first);
    call.refuse(error_kind::stale_configuration, run_state::not_run, 7);
    CHECK(call.get<catch_up>().version == 7);
    CHECK(call.get<catch_up>().endpoint == first);
    SECTION("caught up")
    {
        call(configuration_caught_up{call.machine().leg()});
    }
    SECTION("the agent does not send it")
    {
        call(verdict_timer_expired{call.machine().leg()});
    }
    CHECK(call.get<choose_endpoint>().excluded.empty());
}

// Guards against endless attempts at an agent whose configuration is always
// newer.
TEST_CASE("a configuration that stays stale ends the call")
{
    machine_under_test call(stream(false));
    for (std::size_t n = 0; n < 3; ++n)
    {
        call.choose(first);
        call.refuse(error_kind::stale_configuration, run_state::not_run, 7);
        call(configuration_caught_up{call.machine().leg()});
    }
    CHECK(call.machine().finished());
    CHECK(call.machine().attempts() == 3);
}

// Guards against a wrong run state when the deadline expires (G5).
TEST_CASE("the deadline gives the final answer at once")
{
    machine_under_test call(stream(true));
    SECTION("nothing was sent")
    {
        call(deadline_expired{});
        CHECK_FALSE(call.has<send_cancel>());
        call.check_error(error_kind::deadline_exceeded, run_state::not_run);
    }
    SECTION("refused, and the next endpoint not chosen yet")
    {
        call.choose(first);
        call.refuse(error_kind::overloaded);
        call(deadline_expired{});
        call.check_error(error_kind::deadline_exceeded, run_state::not_run);
    }
    SECTION("an endpoint has the call")
    {
        call.choose(first);
        call(deadline_expired{});
        CHECK(call.has<send_cancel>());
        CHECK(call.has<release_endpoint>());
        call.check_error(error_kind::deadline_exceeded, run_state::unknown);
    }
}

// Guards against work for a caller that has disconnected.
TEST_CASE("a call whose caller disconnects is cancelled without an answer")
{
    machine_under_test call(stream(false));
    call.choose(first);
    call.accept();
    call(caller_disconnected{});
    CHECK(call.has<send_cancel>());
    CHECK(call.has<release_endpoint>());
    CHECK(call.has<abandon>());
    call.end(0);
    CHECK(call.last().empty());
}

// Guards against an acknowledgement that lets the agent discard chunks that the
// caller has not received.
TEST_CASE("a forwarded chunk is acknowledged when the caller has received it")
{
    machine_under_test call(stream(false));
    call.choose(first);
    call.accept();
    call.chunk(0);
    CHECK_FALSE(call.has<send_ack>());
    call(caller_write_completed{1});
    CHECK(call.get<send_ack>().next == 1);
}

// Guards against answers that exhaust the router's memory, and against an
// engine that keeps generating an answer that nobody will receive.
TEST_CASE("a buffered answer above the limit is refused and cancelled")
{
    call_policy policy;
    policy.idempotent = true;
    policy.max_answer_bytes = 12;
    machine_under_test call(policy);
    call.choose(first);
    call.accept();
    auto const receive_chunk = [&](std::uint64_t number) {
        call(chunk_received{call.machine().leg(), {0, number, "123456"}});
    };
    receive_chunk(0);
    receive_chunk(1);
    CHECK(call.has<buffer_chunk>());
    receive_chunk(2);
    CHECK_FALSE(call.has<buffer_chunk>());
    CHECK(call.has<send_cancel>());
    CHECK(call.has<release_endpoint>());
    call.check_error(error_kind::internal, run_state::unknown);
}

// Guards against counting the bytes of an earlier attempt towards the limit of
// a later one.
TEST_CASE("each attempt may buffer an answer up to the limit")
{
    call_policy policy;
    policy.idempotent = true;
    policy.max_answer_bytes = 7;
    machine_under_test call(policy);
    call.choose(first);
    call.accept();
    call.chunk(0);
    call.end_failed(error_kind::stream_interrupted, run_state::unknown);
    call.choose(second);
    call.accept();
    call.chunk(0);
    CHECK(call.has<buffer_chunk>());
    call.end(1);
    CHECK(call.has<finish_buffered>());
}

// Guards against a limit on streams, which are not buffered in memory.
TEST_CASE("a streamed answer may exceed the limit for buffered ones")
{
    auto policy = stream(true);
    policy.max_answer_bytes = 7;
    machine_under_test call(policy);
    call.choose(first);
    call.accept();
    for (std::uint64_t n = 0; n < 5; ++n)
    {
        call.chunk(n);
        CHECK(call.has<forward_chunk>());
    }
}

// Guards against an engine's error body sent as an event stream with status
// 200.
TEST_CASE("an answer to a streaming call that is not a stream is buffered")
{
    machine_under_test call(stream(true));
    call.choose(first);
    call.accept();
    call(chunk_received{call.machine().leg(), {0, 0, "{\"error\":{}}"}});
    CHECK(call.has<buffer_chunk>());
    auto end = machine_under_test::complete_end(1);
    end.http_status = 400;
    call(call_end_received{call.machine().leg(), end});
    CHECK(call.get<finish_buffered>().http_status == 400);
}

// Guards against a refusal after queueing that is not retried elsewhere.
TEST_CASE("a call that ends not run after its verdict goes elsewhere")
{
    machine_under_test call(stream(false));
    call.choose(first);
    call.accept();
    call.end_failed(error_kind::draining, run_state::not_run);
    CHECK(call.has<choose_endpoint>());
}

namespace
{

/// Feeds random events to a state machine and checks the invariants of every
/// sequence of events.
class fuzzer
{
public:
    explicit fuzzer(std::uint64_t seed)
        : engine_(seed)
        , idempotent_(pick(2) == 0)
        , streaming_(pick(2) == 0)
        , machine_(make_policy(), [this] { return pick(4) != 0; })
    {
    }

    void run()
    {
        check(machine_.start());
        for (int n = 0; n < 200 && !machine_.finished(); ++n)
            feed(make_event());
        feed(deadline_expired{});
        CHECK(machine_.finished());
        CHECK(final_answers_ == 1);
        CHECK(occupied_endpoints_ == 0);
        CHECK(machine_.attempts() <= 3);
        feed(make_event());
        CHECK(final_answers_ == 1);
    }

private:
    void feed(call_event event)
    {
        check(machine_.handle(std::move(event)));
        definitely_not_run_ = false;
    }

    call_policy make_policy() const
    {
        call_policy out;
        out.idempotent = idempotent_;
        out.streaming = streaming_;
        return out;
    }

    std::uint64_t pick(std::uint64_t range) { return engine_() % range; }

    leg_number pick_leg()
    {
        auto const leg = machine_.leg();
        return pick(8) == 0 && leg > 0 ? leg - 1 : leg;
    }

    kernel::error pick_error()
    {
        return {static_cast<error_kind>(
                    pick(static_cast<std::uint64_t>(error_kind::internal) + 1)),
                "failed; retry",
                static_cast<run_state>(pick(3)),
                {}};
    }

    call_event make_event()
    {
        auto const leg = pick_leg();
        // Events that usually end a call are rarer than those that continue it.
        switch (pick(28))
        {
        case 0:
            if (pick(6) == 0)
                return no_endpoint_chosen{pick_error()};
            return endpoint_chosen{first};
        case 1:
            return make_written(leg);
        case 2:
            return make_verdict(leg);
        case 3:
            return make_end(leg);
        case 4:
            return agent_connection_lost{leg};
        case 5:
            return resume_failed{leg};
        case 6:
            return verdict_timer_expired{leg};
        case 7:
            return configuration_caught_up{leg};
        case 8:
        case 9:
        case 10:
        case 11:
            return endpoint_chosen{first};
        default:
            return make_chunk(leg);
        }
    }

    call_event make_written(leg_number leg)
    {
        auto const outcome = static_cast<write_outcome>(pick(3));
        if (leg == machine_.leg() && outcome == write_outcome::not_started)
            definitely_not_run_ = true;
        return invoke_written{leg, outcome};
    }

    call_event make_verdict(leg_number leg)
    {
        wire::verdict answer;
        if (pick(2) == 0)
            answer.refusal = pick_error();
        record_definite_refusal(leg, answer.refusal);
        return verdict_received{leg, answer};
    }

    call_event make_end(leg_number leg)
    {
        auto end = machine_under_test::complete_end(pick(2) == 0 ? next_chunk_
                                                                 : pick(4));
        if (pick(2) == 0)
        {
            end.outcome = wire::call_outcome::failed;
            end.failure = pick_error();
        }
        last_end_ = end;
        record_definite_refusal(leg, end.failure);
        return call_end_received{leg, end};
    }

    call_event make_chunk(leg_number leg)
    {
        auto const number = pick(3) == 0 ? pick(5) : next_chunk_;
        return chunk_received{leg, {0, number, make_bytes(number)}};
    }

    static std::string make_bytes(std::uint64_t number)
    {
        return "data: " + std::to_string(number);
    }

    void record_definite_refusal(leg_number leg,
                                 std::optional<kernel::error> const& failure)
    {
        if (leg == machine_.leg() && failure &&
            failure->run == run_state::not_run)
            definitely_not_run_ = true;
    }

    void check(call_state_machine::actions const& actions)
    {
        for (auto const& it : actions)
            std::visit([this](auto const& action) { on(action); }, it);
    }

    void on(send_invoke const&)
    {
        CHECK(occupied_endpoints_ == 0);
        ++occupied_endpoints_;
        CHECK_FALSE(output_forwarded_);
        next_chunk_ = 0;
    }
    void on(choose_endpoint const&)
    {
        // Only a definite "not run", in this event or before catching up,
        // allows a call that is not idempotent to be sent again.
        if (!idempotent_ && machine_.attempts() > 0)
            CHECK((definitely_not_run_ || catching_up_));
        catching_up_ = false;
    }
    void on(catch_up const&)
    {
        CHECK(definitely_not_run_);
        catching_up_ = true;
    }
    void on(release_endpoint const&) { --occupied_endpoints_; }
    void on(forward_chunk const& action)
    {
        CHECK(action.bytes == make_bytes(next_chunk_));
        ++next_chunk_;
        output_forwarded_ = true;
    }
    void on(buffer_chunk const& action)
    {
        CHECK(action.bytes == make_bytes(next_chunk_));
        ++next_chunk_;
    }
    void on(send_resume const& action) { CHECK(action.next == next_chunk_); }
    void on(finish_stream const&) { on_complete(); }
    void on(finish_buffered const&)
    {
        CHECK_FALSE(output_forwarded_);
        on_complete();
    }
    void on(finish_error const& action)
    {
        ++final_answers_;
        CHECK(action.in_stream == output_forwarded_);
        if (output_forwarded_)
            CHECK(action.failure.run != run_state::not_run);
    }
    void on(abandon const&) { ++final_answers_; }
    template <typename Action>
    void on(Action const&)
    {
    }

    void on_complete()
    {
        ++final_answers_;
        CHECK(last_end_.chunks == next_chunk_);
        CHECK(last_end_.outcome == wire::call_outcome::complete);
    }

    std::mt19937_64 engine_;
    bool idempotent_;
    bool streaming_;
    call_state_machine machine_;
    int occupied_endpoints_ = 0;
    int final_answers_ = 0;
    /// The current event states definitely that the attempt did not run.
    bool definitely_not_run_ = false;
    bool catching_up_ = false;
    bool output_forwarded_ = false;
    std::uint64_t next_chunk_ = 0;
    wire::call_end last_end_;
};

} // namespace

// Guards against any order of events that runs a call twice, forwards truncated
// or reordered output, ends a call twice or leaks an endpoint's slot.
TEST_CASE("random histories keep the guarantees of a call")
{
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed)
    {
        INFO("seed " << seed);
        fuzzer(seed).run();
    }
}

} // namespace endiveward::router
