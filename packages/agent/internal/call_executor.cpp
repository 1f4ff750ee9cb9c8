#include "agent/internal/call_executor.hpp"

#include "admission/i_admission_queue.hpp"
#include "admission/i_cache_index.hpp"
#include "admission/i_idempotency_ledger.hpp"
#include "admission/types/admission_request.hpp"
#include "agent/i_endpoint_client.hpp"
#include "agent/internal/agent_metrics.hpp"
#include "agent/internal/endpoint_call_builder.hpp"
#include "agent/internal/load_reporter.hpp"
#include "agent/types/endpoint_result.hpp"
#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "wire/i_connection.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>
#include <utility>

namespace endiveward::agent
{

namespace
{

constexpr std::chrono::minutes max_deadline{10};
// Weight of a new measurement in the average is one over this.
constexpr int average_weight = 8;
// Answers above this size are not given to the ledger; a repetition of the
// call then gets `outcome_unknown`.
constexpr std::size_t max_kept_answer = 1U << 20U;
constexpr std::size_t replay_piece = 64U << 10U;

kernel::error not_run(kernel::error_kind kind, std::string message)
{
    return {kind, std::move(message), kernel::run_state::not_run, {}};
}

kernel::hash128 hash_request(wire::invoke const& request)
{
    std::string all;
    for (auto const* it : {&request.workspace.str(), &request.model.str(),
                           &request.service.str(), &request.method,
                           &request.path, &request.idempotency_key})
    {
        all += *it;
        all += '\0';
    }
    return kernel::hash_chained(kernel::hash_bytes(all), request.body);
}

} // namespace

call_executor::call_executor(executor_services services, endpoint_identity own)
    : services_(std::move(services))
    , policy_(services_.load, std::move(own))
    , sender_(services_.load, services_.configuration)
    , average_service_(0)
{
}

kernel::steady_time call_executor::now() const
{
    return services_.clock->now();
}

void call_executor::drop_message() const
{
    services_.metrics->dropped_messages.Increment();
}

// --- Arrival -----------------------------------------------------------------

void call_executor::on_invoke(connection_ptr const& conn, wire::invoke request)
{
    auto* const known = calls_.find_stream(request.stream_id);
    if (known != nullptr)
        return on_known_stream(*known, conn, request);
    // An id that is in use would mix up two answers.
    if (calls_.find_on(conn, request.call_id) != nullptr)
        return conn->close();
    auto const time_left =
        std::min<std::chrono::milliseconds>(request.deadline, max_deadline);
    auto const call_id = request.call_id;
    auto& added = calls_.add(std::move(request));
    added.deadline = now() + time_left;
    added.request_hash = hash_request(added.request);
    added.buffer = services_.make_buffer();
    calls_.attach(added, conn, call_id);
    decide(added);
}

void call_executor::on_known_stream(call& known, connection_ptr const& conn,
                                    wire::invoke const& request)
{
    services_.metrics->duplicate_invokes.Increment();
    if (known.connection == conn)
        return;
    bool const same = known.request_hash == hash_request(request);
    if (!same || known.buffer->first() > 0)
    {
        wire::verdict answer;
        answer.call_id = request.call_id;
        answer.refusal =
            same ? kernel::error{kernel::error_kind::outcome_unknown,
                                 "the call ran and its answer was released; "
                                 "check its outcome",
                                 kernel::run_state::unknown,
                                 {}}
                 : not_run(kernel::error_kind::invalid_request,
                           "the stream id belongs to another request; use a "
                           "new random id");
        answer.load = services_.load->report();
        answer.config_version = services_.configuration->current()->version();
        return conn->send(answer);
    }
    calls_.attach(known, conn, request.call_id);
    if (known.state == call_state::undecided)
        return request_configuration(known);
    sender_.send_verdict(known, std::nullopt);
    continue_stream(known, 0);
}

void call_executor::decide(call& which)
{
    auto const configuration = services_.configuration->current();
    if (now() >= which.deadline)
        return refuse(which, not_run(kernel::error_kind::deadline_exceeded,
                                     "the deadline passed before the agent "
                                     "decided; allow more time"));
    if (which.request.config_version > configuration->version())
        return request_configuration(which);
    if (auto reason = policy_.check(which.request, *configuration))
        return refuse(which, std::move(*reason));
    auto const queued = services_.queue->submit(
        {which.id, which.request.priority, which.deadline, average_service_});
    if (!kernel::ok(queued))
        return refuse(which, kernel::failure(queued));
    which.state = call_state::queued;
    which.hit_bytes = services_.cache->hit_bytes(which.request.prefix_levels);
    services_.load->record_levels(which.request.prefix_levels);
    sender_.send_verdict(which, std::nullopt);
    pump();
}

void call_executor::request_configuration(call& which)
{
    if (!config_requests_.insert(which.connection.get()).second)
        return;
    which.connection->send(
        wire::config_request{services_.configuration->current()->version()});
}

void call_executor::on_configuration(connection_ptr const& source)
{
    config_requests_.erase(source.get());
    auto const version = services_.configuration->current()->version();
    for (auto const id : calls_.ids())
    {
        auto* const it = calls_.find(id);
        if (it == nullptr || it->state != call_state::undecided)
            continue;
        if (it->request.config_version <= version)
            decide(*it);
        else if (source && it->connection == source)
            refuse(*it, not_run(kernel::error_kind::stale_configuration,
                                "the router's update does not reach the "
                                "version that the call names; send it again"));
    }
}

void call_executor::refuse(call& which, kernel::error reason)
{
    services_.metrics->count_refusal(reason.kind);
    sender_.send_verdict(which, std::move(reason));
    calls_.remove(which.id);
}

// --- Execution ---------------------------------------------------------------

void call_executor::pump()
{
    if (std::exchange(pumping_, true))
        return;
    while (auto const id = services_.queue->take_next())
    {
        auto* const it = calls_.find(*id);
        if (it != nullptr)
            start(*it);
        else
            services_.queue->finish(*id, average_service_);
    }
    pumping_ = false;
}

void call_executor::start(call& which)
{
    which.state = call_state::claiming;
    which.started_at = now();
    if (which.started_at >= which.deadline)
        return fail(which, not_run(kernel::error_kind::deadline_exceeded,
                                   "the deadline passed in the queue; allow "
                                   "more time or send less"));
    if (which.request.idempotency_key.empty())
        return run(which);
    claim(which);
}

void call_executor::claim(call& which)
{
    services_.ledger->begin(
        which.request.workspace, which.request.idempotency_key,
        which.request_hash, which.deadline,
        [this,
         id = which.id](kernel::result<admission::claim_decision> decision)
        { on_claimed(id, std::move(decision)); });
}

void call_executor::on_claimed(
    std::uint64_t id, kernel::result<admission::claim_decision> decision)
{
    auto* const which = calls_.find(id);
    bool const wanted =
        which != nullptr && which->state == call_state::claiming;
    if (!kernel::ok(decision))
    {
        if (wanted)
            fail(*which, kernel::failure(decision));
        return;
    }
    auto& decided = kernel::value(decision);
    auto const* const granted = std::get_if<admission::claim>(&decided);
    if (!wanted)
    {
        if (granted != nullptr)
            services_.ledger->release(*granted);
        return;
    }
    if (granted == nullptr)
        return replay(*which, std::get<admission::stored_answer>(decided));
    which->claim = *granted;
    if (now() < which->deadline)
        return run(*which);
    fail(*which, not_run(kernel::error_kind::deadline_exceeded,
                         "the deadline passed while the key was claimed; allow "
                         "more time"));
}

void call_executor::replay(call& which, admission::stored_answer const& answer)
{
    services_.metrics->replayed_answers.Increment();
    std::string_view rest(answer.body);
    // Each chunk of a stream is one event.
    bool const events = which.request.streaming &&
                        which.request.target == wire::target_kind::engine &&
                        rest.starts_with("data: ");
    constexpr std::string_view separator = "\n\n";
    while (!rest.empty())
    {
        auto size = std::min(rest.size(), replay_piece);
        if (events)
            size = std::min(rest.find(separator), rest.size() - 2) +
                   separator.size();
        which.buffer->append(std::string(rest.substr(0, size)));
        rest.remove_prefix(size);
    }
    wire::call_end outcome;
    outcome.outcome = wire::call_outcome::complete;
    outcome.http_status = answer.http_status;
    outcome.content_type = answer.content_type;
    end(which, std::move(outcome));
}

void call_executor::run(call& which)
{
    auto const& request = which.request;
    // Rules and loaded versions may have changed while the call was queued.
    if (auto reason = policy_.check_target_and_rules(
            request, *services_.configuration->current()))
        return fail(which, std::move(*reason));
    bool const engine = request.target == wire::target_kind::engine;
    auto built = build_endpoint_call(
        request, engine ? services_.cache_salt(request) : std::string());
    if (!kernel::ok(built))
        return fail(which, kernel::failure(built));
    which.state = call_state::running;
    which.started_at = now();
    services_.endpoint->start(which.id, kernel::value(std::move(built)), *this);
}

void call_executor::on_part(std::uint64_t id, std::string bytes)
{
    auto* const which = calls_.find(id);
    if (which == nullptr || which->state != call_state::running)
        return;
    if (which->claim)
    {
        which->answer_kept &=
            which->answer.size() + bytes.size() <= max_kept_answer;
        if (which->answer_kept)
            which->answer += bytes;
    }
    which->buffer->append(std::move(bytes));
    if (which->unattended)
        return discard_chunks(*which);
    sender_.send_available(*which);
    if (!which->buffer->full() || which->paused)
        return;
    which->paused = true;
    services_.endpoint->pause(id);
}

void call_executor::on_end(std::uint64_t id, endpoint_result const& result)
{
    auto* const which = calls_.find(id);
    if (which == nullptr || which->state != call_state::running)
        return;
    if (result.failure)
        return fail(*which, *result.failure);
    services_.metrics->prompt_bytes.Increment(
        static_cast<double>(result.prompt_bytes));
    services_.metrics->cached_bytes.Increment(
        static_cast<double>(result.cached_bytes));
    wire::call_end outcome;
    outcome.outcome = wire::call_outcome::complete;
    outcome.http_status = result.http_status;
    outcome.content_type = result.content_type;
    outcome.prompt_bytes = result.prompt_bytes;
    outcome.cached_bytes = result.cached_bytes;
    end(*which, std::move(outcome));
}

// --- End ---------------------------------------------------------------------

void call_executor::fail(call& which, kernel::error reason)
{
    wire::call_end outcome;
    outcome.outcome = wire::call_outcome::failed;
    outcome.failure = std::move(reason);
    end(which, std::move(outcome));
}

void call_executor::end(call& which, wire::call_end outcome)
{
    auto const before = std::exchange(which.state, call_state::ended);
    which.ended_at = now();
    outcome.chunks = which.buffer->next();
    which.end = std::move(outcome);
    services_.metrics->count_end(which.end->outcome);
    settle_claim(which);
    which.answer.clear();
    which.request.body.clear();
    if (before == call_state::claiming || before == call_state::running)
    {
        auto const measured =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                which.ended_at - which.started_at);
        // A call that did not run says nothing about the time that calls take.
        if (before == call_state::running)
            average_service_ = average_with(measured);
        services_.queue->finish(which.id, before == call_state::running
                                              ? measured
                                              : average_service_);
    }
    sender_.send_available(which);
    pump();
}

std::chrono::milliseconds
call_executor::average_with(std::chrono::milliseconds measured) const
{
    if (average_service_ == average_service_.zero())
        return measured;
    return average_service_ + (measured - average_service_) / average_weight;
}

void call_executor::settle_claim(call& which) const
{
    if (!which.claim)
        return;
    auto const& failure = which.end->failure;
    if (failure && failure->run == kernel::run_state::not_run)
        return services_.ledger->release(*which.claim);
    if (failure || !which.answer_kept)
        return services_.ledger->complete(*which.claim, nullptr);
    admission::stored_answer const answer{
        which.end->http_status, which.end->content_type, which.answer};
    services_.ledger->complete(*which.claim, &answer);
}

void call_executor::on_cancel(connection_ptr const& conn,
                              wire::cancel const& what)
{
    auto* const which = calls_.find_on(conn, what.call_id);
    if (which == nullptr)
        return drop_message();
    withdraw(*which);
}

void call_executor::withdraw(call& which)
{
    if (which.state == call_state::ended)
        return;
    bool const started = which.state == call_state::running;
    if (started)
        services_.endpoint->cancel(which.id);
    if (which.state == call_state::queued)
        services_.queue->withdraw(which.id);
    wire::call_end outcome;
    outcome.outcome = wire::call_outcome::cancelled;
    outcome.failure = kernel::error{kernel::error_kind::stream_interrupted,
                                    "the call was cancelled",
                                    started ? kernel::run_state::unknown
                                            : kernel::run_state::not_run,
                                    {}};
    end(which, std::move(outcome));
}

// --- Router connections ------------------------------------------------------

void call_executor::on_ack(connection_ptr const& conn,
                           wire::chunk_ack const& ack)
{
    auto* const which = calls_.find_on(conn, ack.call_id);
    // A number above what was sent would release chunks that are needed.
    if (which == nullptr || ack.next > which->next_to_send)
        return drop_message();
    release_chunks(*which, ack.next);
}

void call_executor::release_chunks(call& which, std::uint64_t next)
{
    which.buffer->acknowledge(next);
    if (!which.paused || which.buffer->full())
        return;
    which.paused = false;
    services_.endpoint->resume(which.id);
}

void call_executor::on_resume(connection_ptr const& conn,
                              wire::resume const& what)
{
    services_.metrics->resumes.Increment();
    auto* const which = calls_.find_stream(what.stream_id);
    if (which == nullptr || what.next < which->buffer->first() ||
        what.next > which->buffer->next())
        return call_sender::send_lost_stream(*conn, what.call_id);
    calls_.attach(*which, conn, what.call_id);
    if (which->state == call_state::undecided)
        return request_configuration(*which);
    continue_stream(*which, what.next);
}

void call_executor::continue_stream(call& which, std::uint64_t next)
{
    which.next_to_send = next;
    which.end_sent = false;
    sender_.send_available(which);
    on_ack(which.connection, {which.call_id, next});
}

void call_executor::on_connection_closed(connection_ptr const& conn)
{
    config_requests_.erase(conn.get());
    for (auto const id : calls_.ids_on(conn))
    {
        auto& which = *calls_.find(id);
        calls_.detach(which);
        which.orphaned_at = now();
        // Nothing was promised for a call without a verdict.
        if (which.state == call_state::undecided)
            calls_.remove(id);
    }
}

// --- Time --------------------------------------------------------------------

void call_executor::tick()
{
    for (auto const id : services_.queue->take_expired())
    {
        auto* const it = calls_.find(id);
        if (it != nullptr)
            expire(*it);
    }
    for (auto const id : calls_.ids())
    {
        auto* const it = calls_.find(id);
        if (it != nullptr)
            check_windows(*it);
    }
    pump();
}

void call_executor::expire(call& which)
{
    if (which.state == call_state::undecided)
        return decide(which);
    bool const started = which.state == call_state::running;
    if (started)
        services_.endpoint->cancel(which.id);
    fail(which,
         {kernel::error_kind::deadline_exceeded,
          started ? "the deadline passed before the answer was complete; allow "
                    "more time"
                  : "the deadline passed before the call started; allow more "
                    "time or send less",
          started ? kernel::run_state::unknown : kernel::run_state::not_run,
          {}});
}

void call_executor::check_windows(call& which)
{
    auto const time = now();
    if (which.state == call_state::ended)
    {
        if (time - which.ended_at >= resume_window)
            calls_.remove(which.id);
        return;
    }
    // The queue reports its own calls.
    if (which.state != call_state::queued && time >= which.deadline)
        return expire(which);
    if (!which.orphaned_at || time - *which.orphaned_at < resume_window)
        return;
    auto const& request = which.request;
    if (!request.idempotent || !request.idempotency_key.empty())
        return continue_unattended(which);
    services_.metrics->orphans_cancelled.Increment();
    withdraw(which);
}

void call_executor::continue_unattended(call& which)
{
    if (std::exchange(which.unattended, true))
        return;
    services_.metrics->orphans_continued.Increment();
    discard_chunks(which);
}

// No router acknowledges the chunks, and a full buffer would stop the call
// until its deadline.
void call_executor::discard_chunks(call& which)
{
    which.next_to_send = which.buffer->next();
    release_chunks(which, which.buffer->next());
}

void call_executor::drain()
{
    services_.queue->drain();
    services_.load->report();
}

bool call_executor::idle() const
{
    for (auto const id : calls_.ids())
    {
        auto const* const it = calls_.find(id);
        bool const received = it->state == call_state::ended && it->end_sent &&
                              it->buffer->first() == it->buffer->next();
        if (!received)
            return false;
    }
    return true;
}

std::size_t call_executor::open_calls() const
{
    std::size_t n = 0;
    for (auto const id : calls_.ids())
        n += calls_.find(id)->state == call_state::ended ? 0 : 1;
    return n;
}

} // namespace endiveward::agent
