#include "agent/internal/call_executor.hpp"

#include "admission/i_admission_queue.hpp"
#include "admission/i_cache_index.hpp"
#include "admission/i_idempotency_ledger.hpp"
#include "admission/types/admission_request.hpp"
#include "admission/types/queue_refusal.hpp"
#include "agent/i_endpoint_client.hpp"
#include "agent/internal/agent_metrics.hpp"
#include "agent/internal/endpoint_request_builder.hpp"
#include "agent/internal/load_reporter.hpp"
#include "agent/types/endpoint_result.hpp"
#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "kernel/free_memory.hpp"
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
// A new measurement has the weight 1 / average_samples in the moving average.
constexpr int average_samples = 8;
// Larger responses are not recorded in the ledger; a retry of such a call gets
// `outcome_unknown`.
constexpr std::size_t max_recorded_response = 1U << 20U;
constexpr std::size_t replay_chunk_bytes = 64U << 10U;
/// Requests of ordinary callers are mostly smaller.
constexpr std::size_t small_request_bytes = 192U << 10U;
constexpr std::chrono::milliseconds retry_without_memory{1000};

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

call_executor::call_executor(call_executor_dependencies dependencies,
                             endpoint_identity identity)
    : dependencies_(std::move(dependencies))
    , policy_(dependencies_.load, std::move(identity))
    , sender_(dependencies_.load, dependencies_.configuration)
    , average_service_time_(0)
{
}

kernel::steady_time call_executor::now() const
{
    return dependencies_.clock->now();
}

void call_executor::count_dropped_message() const
{
    dependencies_.metrics->dropped_messages.Increment();
}

// --- Admission ---------------------------------------------------------------

void call_executor::on_invoke(connection_ptr const& conn, wire::invoke request)
{
    auto* const existing = calls_.find_by_stream(request.stream_id);
    if (existing != nullptr)
        return on_duplicate_invoke(*existing, conn, request);
    // Reusing the id of a known call would mix the chunks of two responses.
    if (calls_.find_by_connection(conn, request.call_id) != nullptr)
        return conn->close();
    auto const time_left =
        std::min<std::chrono::milliseconds>(request.deadline, max_deadline);
    auto const call_id = request.call_id;
    auto& added = calls_.add(std::move(request));
    added.deadline = now() + time_left;
    added.request_hash = hash_request(added.request);
    added.buffer = dependencies_.make_buffer();
    calls_.attach(added, conn, call_id);
    if (!has_memory_for(added))
        return refuse(added,
                      {kernel::error_kind::overloaded,
                       "the requests that wait or run take all memory "
                       "that they may; send the request again later",
                       kernel::run_state::not_run, retry_without_memory});
    admit(added);
}

/// Beside large requests that wait or run there is room for small ones. A
/// request that is alone is always taken.
bool call_executor::has_memory_for(call const& entry) const
{
    auto const limit = dependencies_.max_call_memory;
    auto const used = calls_.request_bytes();
    return used <= limit || calls_.size() == 1 ||
           (entry.request_bytes <= small_request_bytes && used <= 2 * limit);
}

void call_executor::on_duplicate_invoke(call& existing,
                                        connection_ptr const& conn,
                                        wire::invoke const& request)
{
    dependencies_.metrics->duplicate_invokes.Increment();
    if (existing.connection == conn)
        return;
    bool const same_request = existing.request_hash == hash_request(request);
    if (!same_request || existing.buffer->first() > 0)
    {
        wire::verdict verdict;
        verdict.call_id = request.call_id;
        verdict.refusal =
            same_request
                ? kernel::error{kernel::error_kind::outcome_unknown,
                                "the call ran and its answer was released; "
                                "check its outcome",
                                kernel::run_state::unknown,
                                {}}
                : not_run(kernel::error_kind::invalid_request,
                          "the stream id belongs to another request; use a "
                          "new random id");
        verdict.load = dependencies_.load->report();
        verdict.config_version =
            dependencies_.configuration->current()->version();
        return conn->send(verdict);
    }
    calls_.attach(existing, conn, request.call_id);
    if (existing.state == call_state::pending_admission)
        return request_configuration(existing);
    sender_.send_verdict(existing, std::nullopt);
    resume_stream(existing, 0);
}

void call_executor::admit(call& entry)
{
    auto const configuration = dependencies_.configuration->current();
    if (now() >= entry.deadline)
        return refuse(entry, not_run(kernel::error_kind::deadline_exceeded,
                                     "the deadline passed before the agent "
                                     "decided; allow more time"));
    if (entry.request.config_version > configuration->version())
        return request_configuration(entry);
    if (auto reason = policy_.check(entry.request, *configuration))
        return refuse(entry, std::move(*reason));
    if (auto reason = check_endpoint(entry))
        return refuse(entry, std::move(*reason));
    auto const queued =
        dependencies_.queue->submit({entry.id, entry.request.priority,
                                     entry.deadline, average_service_time_});
    if (!kernel::ok(queued))
        return refuse(entry, kernel::failure(queued));
    entry.state = call_state::queued;
    entry.hit_bytes =
        dependencies_.cache_index->hit_bytes(entry.request.prefix_levels);
    dependencies_.load->record_prefix_levels(entry.request.prefix_levels);
    sender_.send_verdict(entry, std::nullopt);
    start_queued_calls();
}

void call_executor::request_configuration(call& entry)
{
    if (!config_request_pending_.insert(entry.connection.get()).second)
        return;
    entry.connection->send(wire::config_request{
        dependencies_.configuration->current()->version()});
}

void call_executor::on_configuration(connection_ptr const& source)
{
    config_request_pending_.erase(source.get());
    auto const version = dependencies_.configuration->current()->version();
    for (auto const id : calls_.ids())
    {
        auto* const it = calls_.find(id);
        if (it == nullptr || it->state != call_state::pending_admission)
            continue;
        if (it->request.config_version <= version)
            admit(*it);
        else if (source && it->connection == source)
            refuse(*it, not_run(kernel::error_kind::stale_configuration,
                                "the router's update does not reach the "
                                "version that the call names; send it again"));
    }
}

/// Returns the reason for not sending the call to the endpoint, if there is
/// one.
std::optional<kernel::error> call_executor::check_endpoint(call& entry)
{
    auto const& queue = *dependencies_.queue;
    availability_.on_incarnation(dependencies_.load->engine_incarnation());
    auto const limited = availability_.limited();
    auto res =
        entry.state == call_state::pending_admission
            ? availability_.admit(now(), static_cast<std::uint32_t>(
                                             queue.running() + queue.queued()))
            : availability_.start(now(), entry.counted_by_limit);
    entry.counted_by_limit = entry.counted_by_limit || limited;
    update_endpoint_wait();
    return res;
}

/// Routers count the wait, so that they send calls elsewhere.
void call_executor::update_endpoint_wait()
{
    dependencies_.load->set_endpoint_wait(availability_.wait(now()));
}

void call_executor::on_notices(std::uint64_t id,
                               endpoint_notices const& notices)
{
    auto* const entry = calls_.find(id);
    if (entry == nullptr || entry->state != call_state::running)
        return;
    availability_.on_incarnation(dependencies_.load->engine_incarnation());
    availability_.on_notices(notices, entry->started_at, now());
    update_endpoint_wait();
}

void call_executor::refuse(call& entry, kernel::error reason)
{
    dependencies_.metrics->count_refusal(reason.kind);
    sender_.send_verdict(entry, std::move(reason));
    calls_.remove(entry.id);
}

// --- Execution ---------------------------------------------------------------

void call_executor::start_queued_calls()
{
    if (std::exchange(starting_calls_, true))
        return;
    while (auto const id = dependencies_.queue->take_next())
    {
        auto* const it = calls_.find(*id);
        if (it != nullptr)
            start(*it);
        else
            dependencies_.queue->finish(*id, average_service_time_);
    }
    starting_calls_ = false;
}

void call_executor::start(call& entry)
{
    entry.state = call_state::claiming;
    entry.started_at = now();
    if (entry.started_at >= entry.deadline)
        return fail(entry, not_run(kernel::error_kind::deadline_exceeded,
                                   "the deadline passed in the queue; allow "
                                   "more time or send less"));
    if (entry.request.idempotency_key.empty())
        return run(entry);
    claim(entry);
}

void call_executor::claim(call& entry)
{
    dependencies_.ledger->begin(
        entry.request.workspace, entry.request.idempotency_key,
        entry.request_hash, entry.deadline,
        [this,
         id = entry.id](kernel::result<admission::claim_decision> decision)
        { on_claimed(id, std::move(decision)); });
}

void call_executor::on_claimed(
    std::uint64_t id, kernel::result<admission::claim_decision> decision)
{
    auto* const entry = calls_.find(id);
    bool const still_claiming =
        entry != nullptr && entry->state == call_state::claiming;
    if (!kernel::ok(decision))
    {
        if (still_claiming)
            fail(*entry, kernel::failure(decision));
        return;
    }
    auto& decided = kernel::value(decision);
    auto const* const granted = std::get_if<admission::claim>(&decided);
    if (!still_claiming)
    {
        if (granted != nullptr)
            dependencies_.ledger->release(*granted);
        return;
    }
    if (granted == nullptr)
        return replay(*entry, std::get<admission::stored_answer>(decided));
    entry->claim = *granted;
    if (now() < entry->deadline)
        return run(*entry);
    fail(*entry, not_run(kernel::error_kind::deadline_exceeded,
                         "the deadline passed while the key was claimed; allow "
                         "more time"));
}

void call_executor::replay(call& entry, admission::stored_answer const& stored)
{
    dependencies_.metrics->replayed_answers.Increment();
    std::string_view remaining(stored.body);
    // Each chunk of a stream is one event.
    bool const events = entry.request.streaming &&
                        entry.request.target == wire::target_kind::engine &&
                        remaining.starts_with("data: ");
    constexpr std::string_view separator = "\n\n";
    while (!remaining.empty())
    {
        auto size = std::min(remaining.size(), replay_chunk_bytes);
        if (events)
            size = std::min(remaining.find(separator), remaining.size() - 2) +
                   separator.size();
        entry.buffer->append(std::string(remaining.substr(0, size)));
        remaining.remove_prefix(size);
    }
    wire::call_end outcome;
    outcome.outcome = wire::call_outcome::complete;
    outcome.http_status = stored.http_status;
    outcome.content_type = stored.content_type;
    end(entry, std::move(outcome));
}

void call_executor::run(call& entry)
{
    auto const& request = entry.request;
    // Rules and loaded versions may have changed while the call was queued.
    if (auto reason = policy_.check_target_and_rules(
            request, *dependencies_.configuration->current()))
        return fail(entry, std::move(*reason));
    // The endpoint may have named the limit while the call was queued.
    if (auto reason = check_endpoint(entry))
        return fail(entry, std::move(*reason));
    bool const engine = request.target == wire::target_kind::engine;
    auto built = build_endpoint_request(
        request, engine ? dependencies_.cache_salt(request) : std::string());
    if (!kernel::ok(built))
        return fail(entry, kernel::failure(built));
    entry.state = call_state::running;
    entry.started_at = now();
    dependencies_.endpoint->start(entry.id, kernel::value(std::move(built)),
                                  *this);
}

void call_executor::on_chunk(std::uint64_t id, std::string bytes)
{
    auto* const entry = calls_.find(id);
    if (entry == nullptr || entry->state != call_state::running)
        return;
    if (entry->claim)
    {
        entry->response_kept &=
            entry->response.size() + bytes.size() <= max_recorded_response;
        if (entry->response_kept)
            entry->response += bytes;
    }
    entry->buffer->append(std::move(bytes));
    if (entry->continues_unattended)
        return discard_chunks(*entry);
    sender_.send_available(*entry);
    if (!entry->buffer->full() || entry->paused)
        return;
    entry->paused = true;
    dependencies_.endpoint->pause(id);
}

void call_executor::on_end(std::uint64_t id, endpoint_result const& result)
{
    auto* const entry = calls_.find(id);
    if (entry == nullptr || entry->state != call_state::running)
        return;
    if (result.failure)
        return fail(*entry, *result.failure, result.endpoint_ended);
    dependencies_.metrics->prompt_bytes.Increment(
        static_cast<double>(result.prompt_bytes));
    dependencies_.metrics->cached_bytes.Increment(
        static_cast<double>(result.cached_bytes));
    wire::call_end outcome;
    outcome.outcome = wire::call_outcome::complete;
    outcome.http_status = result.http_status;
    outcome.content_type = result.content_type;
    outcome.prompt_bytes = result.prompt_bytes;
    outcome.cached_bytes = result.cached_bytes;
    end(*entry, std::move(outcome));
}

// --- Completion and cancellation ---------------------------------------------

void call_executor::fail(call& entry, kernel::error reason, bool endpoint_ended)
{
    wire::call_end outcome;
    outcome.outcome = wire::call_outcome::failed;
    outcome.endpoint_ended = endpoint_ended;
    outcome.failure = std::move(reason);
    end(entry, std::move(outcome));
}

void call_executor::end(call& entry, wire::call_end outcome)
{
    auto const before = std::exchange(entry.state, call_state::ended);
    entry.ended_at = now();
    outcome.chunks = entry.buffer->next();
    entry.end = std::move(outcome);
    dependencies_.metrics->count_end(entry.end->outcome);
    settle_claim(entry);
    kernel::free_memory(entry.response);
    calls_.release_body(entry);
    if (before == call_state::claiming || before == call_state::running)
    {
        auto const measured =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                entry.ended_at - entry.started_at);
        // A call that did not run must not influence the average service time.
        if (before == call_state::running)
            average_service_time_ = updated_average(measured);
        dependencies_.queue->finish(entry.id, before == call_state::running
                                                  ? measured
                                                  : average_service_time_);
    }
    sender_.send_available(entry);
    start_queued_calls();
}

std::chrono::milliseconds
call_executor::updated_average(std::chrono::milliseconds measured) const
{
    if (average_service_time_ == average_service_time_.zero())
        return measured;
    return average_service_time_ +
           (measured - average_service_time_) / average_samples;
}

void call_executor::settle_claim(call& entry) const
{
    if (!entry.claim)
        return;
    auto const& failure = entry.end->failure;
    if (failure && failure->run == kernel::run_state::not_run)
        return dependencies_.ledger->release(*entry.claim);
    if (failure || !entry.response_kept)
        return dependencies_.ledger->complete(*entry.claim, nullptr);
    admission::stored_answer const stored{
        entry.end->http_status, entry.end->content_type, entry.response};
    dependencies_.ledger->complete(*entry.claim, &stored);
}

void call_executor::on_cancel(connection_ptr const& conn,
                              wire::cancel const& msg)
{
    auto* const entry = calls_.find_by_connection(conn, msg.call_id);
    if (entry == nullptr)
        return count_dropped_message();
    cancel_call(*entry);
}

void call_executor::cancel_call(call& entry)
{
    if (entry.state == call_state::ended)
        return;
    bool const started = entry.state == call_state::running;
    if (started)
        dependencies_.endpoint->cancel(entry.id);
    if (entry.state == call_state::queued)
        dependencies_.queue->withdraw(entry.id);
    wire::call_end outcome;
    outcome.outcome = wire::call_outcome::cancelled;
    outcome.failure = kernel::error{kernel::error_kind::stream_interrupted,
                                    "the call was cancelled",
                                    started ? kernel::run_state::unknown
                                            : kernel::run_state::not_run,
                                    {}};
    end(entry, std::move(outcome));
}

// --- Router connections ------------------------------------------------------

void call_executor::on_ack(connection_ptr const& conn,
                           wire::chunk_ack const& ack)
{
    auto* const entry = calls_.find_by_connection(conn, ack.call_id);
    // Acknowledging chunks that were not sent would release data still needed.
    if (entry == nullptr || ack.next > entry->next_to_send)
        return count_dropped_message();
    release_chunks(*entry, ack.next);
}

void call_executor::release_chunks(call& entry, std::uint64_t next)
{
    entry.buffer->acknowledge(next);
    if (!entry.paused || entry.buffer->full())
        return;
    entry.paused = false;
    dependencies_.endpoint->resume(entry.id);
}

void call_executor::on_resume(connection_ptr const& conn,
                              wire::resume const& msg)
{
    dependencies_.metrics->resumes.Increment();
    auto* const entry = calls_.find_by_stream(msg.stream_id);
    if (entry == nullptr || msg.next < entry->buffer->first() ||
        msg.next > entry->buffer->next())
        return call_sender::send_lost_stream(*conn, msg.call_id);
    calls_.attach(*entry, conn, msg.call_id);
    if (entry->state == call_state::pending_admission)
        return request_configuration(*entry);
    resume_stream(*entry, msg.next);
}

void call_executor::resume_stream(call& entry, std::uint64_t next)
{
    entry.next_to_send = next;
    entry.end_sent = false;
    sender_.send_available(entry);
    on_ack(entry.connection, {entry.call_id, next});
}

void call_executor::on_connection_closed(connection_ptr const& conn)
{
    config_request_pending_.erase(conn.get());
    for (auto const id : calls_.ids_by_connection(conn))
    {
        auto& entry = *calls_.find(id);
        calls_.detach(entry);
        entry.orphaned_at = now();
        // A call without a verdict was not accepted, so it need not be kept.
        if (entry.state == call_state::pending_admission)
            calls_.remove(id);
    }
}

// --- Timeouts ----------------------------------------------------------------

void call_executor::tick()
{
    for (auto const id : dependencies_.queue->take_expired())
    {
        auto* const it = calls_.find(id);
        if (it != nullptr)
            expire(*it);
    }
    // The router may still send the call to another endpoint.
    for (auto& refused : dependencies_.queue->take_hopeless())
    {
        if (auto* const it = calls_.find(refused.id))
            fail(*it, std::move(refused.reason));
    }
    for (auto const id : calls_.ids())
    {
        auto* const it = calls_.find(id);
        if (it != nullptr)
            check_timeouts(*it);
    }
    update_endpoint_wait();
    start_queued_calls();
}

void call_executor::expire(call& entry)
{
    if (entry.state == call_state::pending_admission)
        return admit(entry);
    bool const started = entry.state == call_state::running;
    if (started)
        dependencies_.endpoint->cancel(entry.id);
    fail(entry,
         {kernel::error_kind::deadline_exceeded,
          started ? "the deadline passed before the answer was complete; allow "
                    "more time"
                  : "the deadline passed before the call started; allow more "
                    "time or send less",
          started ? kernel::run_state::unknown : kernel::run_state::not_run,
          {}});
}

void call_executor::check_timeouts(call& entry)
{
    auto const time = now();
    if (entry.state == call_state::ended)
    {
        if (time - entry.ended_at >= resume_window)
            calls_.remove(entry.id);
        return;
    }
    // Expired calls in the queue are handled by `tick`.
    if (entry.state != call_state::queued && time >= entry.deadline)
        return expire(entry);
    if (!entry.orphaned_at || time - *entry.orphaned_at < resume_window)
        return;
    auto const& request = entry.request;
    if (!request.idempotent || !request.idempotency_key.empty())
        return continue_unattended(entry);
    dependencies_.metrics->orphans_cancelled.Increment();
    cancel_call(entry);
}

void call_executor::continue_unattended(call& entry)
{
    if (std::exchange(entry.continues_unattended, true))
        return;
    dependencies_.metrics->orphans_continued.Increment();
    discard_chunks(entry);
}

// Without a router no chunk is acknowledged, and a full buffer would pause the
// call until its deadline.
void call_executor::discard_chunks(call& entry)
{
    entry.next_to_send = entry.buffer->next();
    release_chunks(entry, entry.buffer->next());
}

void call_executor::drain()
{
    dependencies_.queue->drain();
    dependencies_.load->report();
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
