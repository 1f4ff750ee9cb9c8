#ifndef ENDIVEWARD_ROUTER_CALL_STATE_MACHINE_HPP
#define ENDIVEWARD_ROUTER_CALL_STATE_MACHINE_HPP

#include "router/types/call_action.hpp"
#include "router/types/call_event.hpp"
#include "router/types/call_policy.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace endiveward::router
{

/// State machine of one call: maps events to actions, without I/O and without a
/// clock. A call ends with exactly one of `finish_stream`, `finish_buffered`,
/// `finish_error` and `abandon`.
class call_state_machine
{
public:
    using actions = std::vector<call_action>;

    /// `try_take_retry_token` takes a token from the retry budget and returns
    /// false if there is none.
    call_state_machine(call_policy policy,
                       std::function<bool()> try_take_retry_token);

    actions start();
    actions handle(call_event event);

    bool finished() const { return phase_ == phase::finished; }
    std::size_t attempts() const { return attempts_; }
    /// The current leg; events of other legs are dropped.
    leg_number leg() const { return leg_; }
    /// Number of events that were dropped because they were late or repeated.
    std::size_t dropped() const { return dropped_; }

private:
    enum class phase
    {
        choosing,
        awaiting_verdict,
        receiving,
        resuming,
        catching_up,
        finished
    };

    void on(endpoint_chosen& event);
    void on(no_endpoint_chosen& event);
    void on(invoke_written& event);
    void on(verdict_received& event);
    void on(chunk_received& event);
    void on(call_end_received& event);
    void on(agent_connection_lost& event);
    void on(resume_failed& event);
    void on(verdict_timer_expired& event);
    void on(configuration_caught_up& event);
    void on(caller_write_completed& event);
    void on(caller_disconnected& event);
    void on(deadline_expired& event);

    bool is_current(leg_number leg);
    bool in_flight() const;
    void on_refused(wire::verdict const& answer);
    void on_attempt_failed(kernel::error failure);
    void on_attempt_lost();
    void on_incomplete(wire::call_end const& end);
    void accept_chunk(wire::chunk& chunk);
    void reject_oversized_answer();
    void resume();
    void give_up_resuming();
    void request_endpoint();
    void retry_or_fail(kernel::error const& failure);
    void release(std::optional<wire::load_report> load = {});
    void complete(wire::call_end const& end);
    void fail(kernel::error failure);
    kernel::error connection_lost_error() const;

    call_policy const policy_;
    std::function<bool()> const try_take_retry_token_;

    actions out_;
    phase phase_ = phase::choosing;
    leg_number leg_ = 0;
    std::size_t attempts_ = 0;
    std::size_t resumes_ = 0;
    std::size_t dropped_ = 0;
    kernel::endpoint_id endpoint_;
    std::vector<kernel::endpoint_id> excluded_;
    std::optional<kernel::error> last_failure_;
    std::optional<wire::write_outcome> invoke_outcome_;
    bool endpoint_occupied_ = false;
    /// The connection was lost before the outcome of writing the invoke message
    /// was known.
    bool connection_lost_ = false;
    bool leg_is_resume_ = false;
    /// An attempt may have run at an endpoint.
    bool may_have_run_ = false;
    /// Chunks of the answer are forwarded to the caller instead of buffered.
    bool forwarded_ = false;
    std::uint64_t next_chunk_ = 0;
    std::size_t buffered_bytes_ = 0;
};

} // namespace endiveward::router

#endif
