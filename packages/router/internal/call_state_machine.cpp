#include "router/call_state_machine.hpp"

#include <string_view>
#include <utility>

namespace endiveward::router
{

namespace
{

constexpr std::string_view sse_data_prefix = "data:";

/// Whether a call that failed with this kind of error may succeed at another
/// endpoint.
bool is_retryable_elsewhere(kernel::error_kind kind)
{
    switch (kind)
    {
    case kernel::error_kind::overloaded:
    case kernel::error_kind::draining:
    case kernel::error_kind::not_eligible:
    case kernel::error_kind::connection_lost:
    case kernel::error_kind::outcome_unknown:
    case kernel::error_kind::stream_interrupted:
    case kernel::error_kind::protocol_violation:
        return true;
    default:
        return false;
    }
}

bool is_message(call_event const& event)
{
    return std::holds_alternative<verdict_received>(event) ||
           std::holds_alternative<chunk_received>(event) ||
           std::holds_alternative<call_end_received>(event);
}

kernel::error outcome_unknown(char const* message)
{
    return {kernel::error_kind::outcome_unknown,
            message,
            kernel::run_state::unknown,
            {}};
}

} // namespace

call_state_machine::call_state_machine(
    call_policy policy, std::function<bool()> try_take_retry_token)
    : policy_(policy)
    , try_take_retry_token_(std::move(try_take_retry_token))
{
}

call_state_machine::actions call_state_machine::start()
{
    request_endpoint();
    return std::exchange(out_, {});
}

call_state_machine::actions call_state_machine::handle(call_event event)
{
    if (finished())
    {
        if (is_message(event))
            ++dropped_;
        return {};
    }
    std::visit([this](auto& it) { on(it); }, event);
    return std::exchange(out_, {});
}

bool call_state_machine::is_current(leg_number leg)
{
    if (leg == leg_ && in_flight())
        return true;
    ++dropped_;
    return false;
}

bool call_state_machine::in_flight() const
{
    return phase_ == phase::awaiting_verdict || phase_ == phase::receiving ||
           phase_ == phase::resuming;
}

void call_state_machine::on(endpoint_chosen& event)
{
    if (phase_ != phase::choosing)
    {
        ++dropped_;
        return;
    }
    ++attempts_;
    ++leg_;
    leg_is_resume_ = false;
    phase_ = phase::awaiting_verdict;
    endpoint_ = std::move(event.endpoint);
    invoke_outcome_.reset();
    connection_lost_ = false;
    endpoint_occupied_ = true;
    resumes_ = 0;
    out_.emplace_back(send_invoke{leg_, endpoint_});
    out_.emplace_back(start_verdict_timer{leg_});
}

void call_state_machine::on(no_endpoint_chosen& event)
{
    if (phase_ != phase::choosing)
    {
        ++dropped_;
        return;
    }
    // The refusal of an endpoint is more informative than the lack of other
    // endpoints.
    fail(last_failure_ ? *last_failure_ : std::move(event.reason));
}

void call_state_machine::on(invoke_written& event)
{
    if (event.leg != leg_ || !in_flight())
        return;
    invoke_outcome_ = event.outcome;
    if (phase_ != phase::awaiting_verdict)
        return;
    if (event.outcome == wire::write_outcome::not_started)
    {
        release();
        retry_or_fail({kernel::error_kind::connection_lost,
                       "the connection to the endpoint's agent was lost before "
                       "the request was sent; retry",
                       kernel::run_state::not_run,
                       {}});
        return;
    }
    if (connection_lost_ || event.outcome == wire::write_outcome::uncertain)
        on_attempt_lost();
}

void call_state_machine::on(agent_connection_lost& event)
{
    if (!is_current(event.leg))
        return;
    if (phase_ == phase::awaiting_verdict && !invoke_outcome_)
    {
        // It is unknown whether the invoke was sent until its write handler
        // runs.
        connection_lost_ = true;
        return;
    }
    on_attempt_lost();
}

void call_state_machine::on_attempt_lost()
{
    may_have_run_ = true;
    if (policy_.idempotent && next_chunk_ == 0 && !leg_is_resume_)
    {
        release();
        retry_or_fail(connection_lost_error());
        return;
    }
    resume();
}

kernel::error call_state_machine::connection_lost_error() const
{
    if (next_chunk_ == 0)
        return outcome_unknown("the connection to the endpoint's agent was "
                               "lost; check whether the call took effect "
                               "before repeating it");
    return {kernel::error_kind::stream_interrupted,
            "the answer broke off and could not be resumed; repeat the call if "
            "that is safe",
            kernel::run_state::unknown,
            {}};
}

void call_state_machine::resume()
{
    if (resumes_ >= policy_.max_resumes)
    {
        give_up_resuming();
        return;
    }
    ++resumes_;
    ++leg_;
    leg_is_resume_ = true;
    phase_ = phase::resuming;
    out_.emplace_back(send_resume{leg_, endpoint_, next_chunk_});
}

void call_state_machine::on(resume_failed& event)
{
    if (event.leg == leg_ && phase_ == phase::resuming)
        give_up_resuming();
}

void call_state_machine::give_up_resuming()
{
    on_attempt_failed(connection_lost_error());
}

void call_state_machine::on(verdict_received& event)
{
    if (!is_current(event.leg))
        return;
    if (event.verdict.refusal && phase_ != phase::receiving)
    {
        on_refused(event.verdict);
        return;
    }
    if (phase_ != phase::receiving)
        phase_ = phase::receiving;
    else
        ++dropped_;
}

void call_state_machine::on_refused(wire::verdict const& answer)
{
    release(answer.load);
    bool const is_stale =
        answer.refusal->kind == kernel::error_kind::stale_configuration &&
        answer.refusal->run == kernel::run_state::not_run && !leg_is_resume_;
    if (!is_stale)
    {
        on_attempt_failed(*answer.refusal);
        return;
    }
    last_failure_ = *answer.refusal;
    if (attempts_ >= policy_.max_attempts)
    {
        fail(*answer.refusal);
        return;
    }
    // No retry token is taken: a configuration change makes many calls stale at
    // once, and none of them has cost an endpoint any work.
    // The verdict timer also limits the time for catching up.
    phase_ = phase::catching_up;
    out_.emplace_back(catch_up{leg_, endpoint_, answer.config_version});
    out_.emplace_back(start_verdict_timer{leg_});
}

void call_state_machine::on_attempt_failed(kernel::error failure)
{
    release();
    // An agent that does not know a stream cannot tell that the call never ran,
    // and a call whose answer has begun has run.
    if (leg_is_resume_ || next_chunk_ > 0)
        failure.run = kernel::run_state::unknown;
    bool const not_run = failure.run == kernel::run_state::not_run;
    if (!not_run)
        may_have_run_ = true;
    bool const may_repeat = not_run || (policy_.idempotent && !forwarded_);
    if (may_repeat && is_retryable_elsewhere(failure.kind))
        retry_or_fail(failure);
    else
        fail(std::move(failure));
}

void call_state_machine::on(verdict_timer_expired& event)
{
    if (event.leg != leg_)
        return;
    if (phase_ == phase::catching_up)
    {
        request_endpoint();
        return;
    }
    if (phase_ != phase::awaiting_verdict)
        return;
    out_.emplace_back(mark_endpoint_suspect{endpoint_});
    out_.emplace_back(send_cancel{leg_});
    on_attempt_failed(outcome_unknown(
        "the endpoint's agent did not answer; check whether the call took "
        "effect before repeating it"));
}

void call_state_machine::on(configuration_caught_up& event)
{
    if (event.leg == leg_ && phase_ == phase::catching_up)
        request_endpoint();
}

void call_state_machine::on(chunk_received& event)
{
    if (!is_current(event.leg))
        return;
    if (event.chunk.number < next_chunk_)
    {
        ++dropped_;
        return;
    }
    if (event.chunk.number > next_chunk_)
    {
        ++dropped_;
        may_have_run_ = true;
        resume();
        return;
    }
    accept_chunk(event.chunk);
}

void call_state_machine::accept_chunk(wire::chunk& chunk)
{
    // An answer that is not an event stream, e.g. an error of an engine, is
    // buffered and sent with the status that comes with its end.
    if (next_chunk_ == 0)
        forwarded_ =
            policy_.streaming && chunk.bytes.starts_with(sse_data_prefix);
    phase_ = phase::receiving;
    may_have_run_ = true;
    resumes_ = 0;
    ++next_chunk_;
    if (forwarded_)
    {
        out_.emplace_back(forward_chunk{std::move(chunk.bytes), next_chunk_});
        return;
    }
    buffered_bytes_ += chunk.bytes.size();
    if (buffered_bytes_ > policy_.max_answer_bytes)
    {
        reject_oversized_answer();
        return;
    }
    out_.emplace_back(buffer_chunk{std::move(chunk.bytes)});
    out_.emplace_back(send_ack{leg_, next_chunk_});
}

void call_state_machine::reject_oversized_answer()
{
    out_.emplace_back(send_cancel{leg_});
    fail({kernel::error_kind::internal,
          "the answer exceeds limits.max_answer_bytes of this router; ask for "
          "a stream or a shorter answer, or raise the limit",
          kernel::run_state::unknown,
          {}});
}

void call_state_machine::on(caller_write_completed& event)
{
    if (in_flight())
        out_.emplace_back(send_ack{leg_, event.next});
}

void call_state_machine::on(call_end_received& event)
{
    if (!is_current(event.leg))
        return;
    auto const& end = event.end;
    if (end.outcome != wire::call_outcome::complete || end.failure)
    {
        release(end.load);
        on_attempt_failed(end.failure ? *end.failure
                                      : outcome_unknown("the call was ended by "
                                                        "the endpoint's "
                                                        "agent"));
        return;
    }
    if (end.chunks == next_chunk_)
        complete(end);
    else
        on_incomplete(end);
}

void call_state_machine::on_incomplete(wire::call_end const& end)
{
    may_have_run_ = true;
    if (end.chunks > next_chunk_)
    {
        resume();
        return;
    }
    fail({kernel::error_kind::stream_interrupted,
          "the endpoint's agent counted fewer chunks than it sent; repeat the "
          "call if that is safe",
          kernel::run_state::unknown,
          {}});
}

void call_state_machine::complete(wire::call_end const& end)
{
    release(end.load);
    phase_ = phase::finished;
    // A stream without any event is still answered as a stream.
    if (forwarded_ ||
        (policy_.streaming && next_chunk_ == 0 && end.http_status == 200))
        out_.emplace_back(finish_stream{});
    else
        out_.emplace_back(finish_buffered{end.http_status, end.content_type});
}

void call_state_machine::on(caller_disconnected&)
{
    if (in_flight())
        out_.emplace_back(send_cancel{leg_});
    release();
    phase_ = phase::finished;
    out_.emplace_back(abandon{});
}

void call_state_machine::on(deadline_expired&)
{
    if (in_flight())
    {
        may_have_run_ = true;
        out_.emplace_back(send_cancel{leg_});
    }
    auto const run =
        may_have_run_ ? kernel::run_state::unknown : kernel::run_state::not_run;
    fail({kernel::error_kind::deadline_exceeded,
          "the deadline passed; retry later or allow more time with "
          "X-Request-Timeout-Ms",
          run,
          {}});
}

void call_state_machine::request_endpoint()
{
    phase_ = phase::choosing;
    out_.emplace_back(choose_endpoint{excluded_});
}

void call_state_machine::retry_or_fail(kernel::error const& failure)
{
    excluded_.push_back(endpoint_);
    last_failure_ = failure;
    if (attempts_ >= policy_.max_attempts || !try_take_retry_token_())
    {
        fail(failure);
        return;
    }
    if (next_chunk_ > 0)
        out_.emplace_back(discard_buffered{});
    next_chunk_ = 0;
    buffered_bytes_ = 0;
    request_endpoint();
}

void call_state_machine::release(std::optional<wire::load_report> load)
{
    if (!std::exchange(endpoint_occupied_, false))
        return;
    out_.emplace_back(release_endpoint{endpoint_, std::move(load)});
}

void call_state_machine::fail(kernel::error failure)
{
    release();
    phase_ = phase::finished;
    // An earlier attempt may have run, so "not run" would be wrong.
    if (may_have_run_ && failure.run == kernel::run_state::not_run)
    {
        failure.kind = kernel::error_kind::outcome_unknown;
        failure.run = kernel::run_state::unknown;
    }
    out_.emplace_back(finish_error{std::move(failure), forwarded_});
}

} // namespace endiveward::router
