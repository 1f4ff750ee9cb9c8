#include "fuzz/stream_world.hpp"
#include "kernel/tests/support/property_check.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/state.h>

namespace endiveward::fuzz
{

namespace
{

/// The oracles inside the world judge every step, so no model is needed.
struct no_model
{
};

using command = rc::state::Command<no_model, stream_world>;

/// A step at one agent, at one of its calls or connections, in one of two ways.
template <typename Step>
struct agent_step : command
{
    std::size_t agent = *rc::gen::inRange<std::size_t>(0, agent_count);
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 4);
    bool flag = *rc::gen::arbitrary<bool>();

    void run(no_model const&, stream_world& sut) const override
    {
        Step::run(sut, agent, which, flag);
    }
    void show(std::ostream& os) const override
    {
        os << Step::name << "(" << agent << ", " << which << ", " << flag
           << ")";
    }
};

/// A step of one caller.
template <typename Step>
struct caller_step : command
{
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 8);

    void run(no_model const&, stream_world& sut) const override
    {
        if (!sut.callers.empty())
            Step::run(*sut.callers[which % sut.callers.size()]);
    }
    void show(std::ostream& os) const override
    {
        os << Step::name << "(" << which << ")";
    }
};

struct submit_step : command
{
    bool streaming = *rc::gen::arbitrary<bool>();
    bool idempotent = *rc::gen::arbitrary<bool>();

    void run(no_model const&, stream_world& sut) const override
    {
        sut.submit(streaming, idempotent);
    }
    void show(std::ostream& os) const override
    {
        os << "submit(" << streaming << ", " << idempotent << ")";
    }
};

struct time_step : command
{
    int amount = *rc::gen::inRange(1, 6);

    void run(no_model const&, stream_world& sut) const override
    {
        sut.advance(seconds(amount));
    }
    void show(std::ostream& os) const override
    {
        os << "advance(" << amount << ")";
    }
};

struct events_step : command
{
    void run(no_model const&, stream_world& sut) const override
    {
        sut.run_events();
    }
    void show(std::ostream& os) const override { os << "run_events"; }
};

link& pick_link(stream_world& sut, std::size_t agent, std::size_t which)
{
    auto& links = sut.agents.at(agent)->links;
    // Mostly the newest connection, sometimes an earlier one.
    return *links[links.size() - 1 - which % links.size()];
}

struct flow
{
    static constexpr char const* name = "flow";
    static void run(stream_world& sut, std::size_t agent, std::size_t, bool)
    {
        sut.flow(agent);
    }
};
struct write
{
    static constexpr char const* name = "write";
    static void run(stream_world& sut, std::size_t agent, std::size_t which,
                    bool)
    {
        pick_link(sut, agent, which).write();
    }
};
struct deliver_to_agent
{
    static constexpr char const* name = "deliver_to_agent";
    static void run(stream_world& sut, std::size_t agent, std::size_t which,
                    bool repeat)
    {
        sut.agents.at(agent)->deliver(pick_link(sut, agent, which), repeat);
    }
};
struct deliver_to_router
{
    static constexpr char const* name = "deliver_to_router";
    static void run(stream_world& sut, std::size_t agent, std::size_t which,
                    bool repeat)
    {
        agent_process::deliver_to_router(pick_link(sut, agent, which), repeat);
    }
};
struct cut
{
    static constexpr char const* name = "cut";
    static void run(stream_world& sut, std::size_t agent, std::size_t,
                    bool in_a_message)
    {
        sut.cut(agent, in_a_message);
    }
};
struct notice_cuts
{
    static constexpr char const* name = "notice_cuts";
    static void run(stream_world& sut, std::size_t agent, std::size_t, bool)
    {
        sut.agents.at(agent)->notice_cuts();
    }
};
struct connect
{
    static constexpr char const* name = "connect";
    static void run(stream_world& sut, std::size_t agent, std::size_t, bool)
    {
        sut.connect(agent);
    }
};
struct engine_connect
{
    static constexpr char const* name = "engine_connect";
    static void run(stream_world& sut, std::size_t agent, std::size_t which,
                    bool)
    {
        sut.agents.at(agent)->endpoint->connect(which);
    }
};
struct engine_produce
{
    static constexpr char const* name = "engine_produce";
    static void run(stream_world& sut, std::size_t agent, std::size_t which,
                    bool despite_pause)
    {
        sut.agents.at(agent)->endpoint->produce(which, despite_pause);
        sut.agents.at(agent)->endpoint->produce(which, despite_pause);
    }
};
struct engine_finish
{
    static constexpr char const* name = "engine_finish";
    static void run(stream_world& sut, std::size_t agent, std::size_t which,
                    bool)
    {
        sut.agents.at(agent)->endpoint->finish(which);
    }
};
struct engine_cut
{
    static constexpr char const* name = "engine_cut";
    static void run(stream_world& sut, std::size_t agent, std::size_t which,
                    bool)
    {
        sut.agents.at(agent)->endpoint->fail(which);
    }
};
struct engine_crash
{
    static constexpr char const* name = "engine_crash";
    static void run(stream_world& sut, std::size_t agent, std::size_t, bool)
    {
        sut.agents.at(agent)->endpoint->crash();
        sut.agents.at(agent)->report_engine();
    }
};
struct read
{
    static constexpr char const* name = "read";
    static void run(caller& it) { it.read(); }
};
struct leave
{
    static constexpr char const* name = "leave";
    static void run(caller& it) { it.leave(); }
};
struct expire_verdict_timer
{
    static constexpr char const* name = "expire_verdict_timer";
    static void run(caller& it) { it.expire_verdict_timer(); }
};
struct expire_resume_timer
{
    static constexpr char const* name = "expire_resume_timer";
    static void run(caller& it) { it.expire_resume_timer(); }
};

void check_streams(planted_fault kind)
{
    stream_world sut(kind);
    // Steps that make progress are listed more than once, so that streams get
    // far enough to be cut in every state.
    rc::state::check(
        no_model{}, sut,
        rc::state::gen::execOneOfWithArgs<
            submit_step, submit_step, agent_step<flow>, agent_step<flow>,
            agent_step<flow>, agent_step<flow>, agent_step<flow>,
            agent_step<flow>, agent_step<write>, agent_step<write>,
            agent_step<deliver_to_agent>, agent_step<deliver_to_agent>,
            agent_step<deliver_to_router>, agent_step<deliver_to_router>,
            events_step, events_step, agent_step<cut>, agent_step<notice_cuts>,
            agent_step<connect>, agent_step<connect>, agent_step<connect>,
            agent_step<engine_connect>, agent_step<engine_connect>,
            agent_step<engine_connect>, agent_step<engine_produce>,
            agent_step<engine_produce>, agent_step<engine_produce>,
            agent_step<engine_produce>, agent_step<engine_finish>,
            agent_step<engine_finish>, agent_step<engine_finish>,
            agent_step<engine_cut>, agent_step<engine_crash>, caller_step<read>,
            caller_step<read>, caller_step<leave>,
            caller_step<expire_verdict_timer>, caller_step<expire_resume_timer>,
            time_step>());
    sut.check_end();
}

void check_property(planted_fault kind, int cases)
{
    kernel::tests::check_property(
        [kind] { check_streams(kind); }, {cases, 300},
        kind == planted_fault::none
            ? kernel::tests::expected_verdict::holds
            : kernel::tests::expected_verdict::counterexample);
}

} // namespace

// Guards against lost, repeated, reordered or mixed chunks, a false claim of
// completeness, a false "not run" and a second run of a non-idempotent call,
// whatever breaks and whenever.
TEST_CASE("streams are exact under random failures")
{
    covered() = {};
    check_property(planted_fault::none, 20'000);
    auto const& seen = covered();
    CAPTURE(seen.starts, seen.cuts, seen.resumes, seen.retries, seen.repeated,
            seen.dropped, seen.paused, seen.engine_failures, seen.completed,
            seen.completed_after_resume, seen.not_run, seen.unknown,
            seen.abandoned);
    CHECK(seen.starts > 5000);
    CHECK(seen.cuts > 1000);
    CHECK(seen.resumes > 1000);
    CHECK(seen.retries > 100);
    CHECK(seen.repeated > 100);
    CHECK(seen.dropped > 100);
    CHECK(seen.paused > 1000);
    CHECK(seen.engine_failures > 100);
    CHECK(seen.completed > 1000);
    CHECK(seen.completed_after_resume > 100);
    CHECK(seen.not_run > 100);
    CHECK(seen.unknown > 100);
    CHECK(seen.abandoned > 100);
}

// Guards against a property that cannot fail.
TEST_CASE("planted faults of streams are detected")
{
    check_property(planted_fault::full_buffer_drops, 20'000);
    check_property(planted_fault::broken_answer_is_complete, 20'000);
    check_property(planted_fault::lost_invoke_is_not_sent, 20'000);
    check_property(planted_fault::late_events_count, 20'000);
}

} // namespace endiveward::fuzz
