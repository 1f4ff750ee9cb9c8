#include "gateway/exchange.hpp"

#include "gateway/attempt_timeouts.hpp"
#include "gateway/endpoint_chooser.hpp"
#include "gateway/endpoint_directory.hpp"
#include "gateway/endpoint_notices.hpp"
#include "gateway/endpoint_outages.hpp"
#include "gateway/exchange_services.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/http/upstream_connection.hpp"
#include "gateway/i_response_writer.hpp"
#include "gateway/limit_watch.hpp"
#include "gateway/origin_watch.hpp"
#include "gateway/overload_policy.hpp"
#include "gateway/part_watch.hpp"
#include "gateway/quota_watch.hpp"
#include "gateway/request_builder.hpp"
#include "gateway/request_fields.hpp"
#include "gateway/response_rules.hpp"
#include "gateway/retry_budgets.hpp"
#include "gateway/room_queue.hpp"
#include "gateway/routing_table.hpp"
#include "gateway/speed_watch.hpp"
#include "gateway/types/held_request.hpp"
#include "gateway/types/sent_request.hpp"
#include "gateway/types/stop_state.hpp"
#include "gateway/types/unserved_request.hpp"
#include "gateway/unavailability_policy.hpp"
#include "gateway/upstream_pool.hpp"
#include "gateway/weights_view.hpp"
#include "kernel/free_memory.hpp"
#include "kernel/parse_number.hpp"
#include "kernel/types/result.hpp"
#include "observe/decision_log.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr int status_multiple_choices = 300;
constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_too_many = 429;
constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/// The endpoint's own response at the deadline is still forwarded if it arrives
/// within this time.
constexpr milliseconds expiry_slack{40};
/// With less time than this left, no endpoint can answer.
constexpr milliseconds min_time_left{5};
/// A request is refused after more refusals or failed connections than these.
constexpr unsigned max_refusals = 2;
constexpr unsigned max_failed_connects = 3;
constexpr milliseconds recheck_interval{200};
/// The peer may be closing a connection that was idle for longer than this.
/// Requests that cannot be retried then use a new connection.
constexpr milliseconds max_idle_at_most_once{1500};
constexpr milliseconds max_idle_retryable{60000};
/// Values of `Retry-After` for callers.
constexpr milliseconds retry_no_configuration{400};
/// Another process can take the request immediately.
constexpr milliseconds retry_stopping{50};
constexpr milliseconds retry_not_served{350};
constexpr milliseconds retry_refused{250};
/// Reading from the endpoint is suspended while more than this is queued for a
/// slow caller.
constexpr std::size_t max_queued_bytes = 32U << 10U;
/// A longer response is forwarded while it arrives.
constexpr std::size_t max_collected_bytes = 256U << 10U;
/// What follows the head of a refusal, or of an error in the place of the rest
/// of a stream, is not forwarded. A connection on which more than this arrives
/// is closed.
constexpr std::size_t max_discarded_bytes = 64U << 10U;
/// Limit of one event of a stream.
constexpr std::size_t max_event_bytes = 1U << 20U;
/// An endpoint that has sent nothing for this time may have crashed.
constexpr milliseconds max_silence{900};
constexpr int lowest_priority = 9;

std::string to_text(std::optional<double> limit)
{
    return limit ? fmt::format("{}", *limit) : "none";
}

} // namespace

exchange::exchange(exchange_services const& services,
                   std::shared_ptr<routing_table const> table,
                   http_request request, i_response_writer& writer)
    : services_(services)
    , table_(std::move(table))
    , request_(std::make_shared<http_request const>(std::move(request)))
    , writer_(&writer)
    , timer_(services.context)
    , buffered_(services.memory)
{
}

exchange::~exchange() = default;

bool exchange::start()
{
    arrived_ = services_.clock.now();
    id_ = request_->headers.value_or(services_.names.request_id, "");
    if (!refuse_if_stopping() && admit())
    {
        prepare_requirements();
        arm(expires_ + expiry_slack);
        if (takes_up_stream())
            locate_stream();
        else
            attempt();
    }
    return progress_ != progress::ended;
}

/// Checks the request against the configuration. Answers it and returns false
/// if it is not allowed.
bool exchange::admit()
{
    if (table_ == nullptr)
    {
        refuse(retry_no_configuration, "no_configuration");
        return false;
    }
    if (id_.empty())
    {
        answer_locally(status_bad_request, "no_request_id");
        return false;
    }
    route_ =
        table_->match(request_->headers.value_or("Host", ""), request_->target);
    if (route_ == nullptr)
    {
        answer_locally(status_not_found, "no_route");
        return false;
    }
    if (table_->needs_keys() && !route_->is_public)
    {
        workspace_ = table_->workspace_of(
            request_->headers.value_or(services_.names.key, ""));
        if (workspace_ == nullptr)
        {
            answer_locally(status_unauthorized, "unknown_key");
            return false;
        }
    }
    auto const resumed =
        request_->headers.find(services_.names.resumed_request);
    auto const is_resumable = route_->kind == route_kind::resumable_stream;
    begun_by_ = is_resumable && resumed && !resumed->empty()
                    ? std::string(*resumed)
                    : id_;
    // A stream goes on at the service at which it began.
    auto const* const chosen = service_for(*route_, begun_by_);
    if (chosen == nullptr || table_->find_service(*chosen) == nullptr)
    {
        refuse(retry_not_served, "no_service");
        return false;
    }
    requirements_.service = *chosen;
    return true;
}

void exchange::prepare_requirements()
{
    auto limit = route_->timeout;
    auto caller_limit = limit;
    if (auto const deadline =
            parse_deadline(request_->headers, services_.names))
    {
        caller_limit = *deadline;
        limit =
            limit.count() > 0 ? std::min(limit, caller_limit) : caller_limit;
    }
    // The endpoint is told, so that a request that still waits there when the
    // process ends is refused as not run.
    expires_ = std::min(arrived_ + limit, services_.stop.ends_at);
    caller_expires_ = arrived_ + caller_limit;
    requirements_.target_latency = route_->target_latency;
    requirements_.due = arrived_ + route_->target_latency;
    requirements_.seed = XXH3_64bits(id_.data(), id_.size());
    if (route_->has_prompt || is_stream(route_->kind))
        requirements_.prompt = parse_prompt(request_->headers, services_.names);
    if (requirements_.prompt)
        keys_.parts = shared_part_keys(*requirements_.prompt);
    keys_.request = request_key(*request_, services_.names);
    requirements_.kv_stores = table_->kv_stores();
    requirements_.contended = is_contended();
    quota_ = services_.quotas.ticket_for(workspace_, request_->headers,
                                         services_.names);
    services_.budgets.on_request(requirements_.service);
}

bool exchange::is_contended() const
{
    auto const& list = services_.endpoints.of_service(requirements_.service);
    return table_->shares_capacity() ||
           (!list.empty() && list.front()->speed().enabled());
}

bool exchange::takes_up_stream() const
{
    return route_->kind == route_kind::resumable_stream &&
           (request_->headers.find(services_.names.last_event_id) ||
            request_->headers.find(services_.names.resumed_request));
}

void exchange::locate_stream()
{
    progress_ = progress::locating;
    services_.origins.locate(
        id_, begun_by_, requirements_.service,
        [weak = weak_from_this()](auto const& decision, auto const& service)
        {
            auto const self = weak.lock();
            if (self != nullptr && self->progress_ == progress::locating)
                self->on_located(decision, service);
        });
}

void exchange::on_located(resumption::resumption_decision const& decision,
                          std::optional<kernel::service_id> const& service)
{
    progress_ = progress::choosing;
    std::visit(
        kernel::overloaded{[&](resumption::resume_at const& it)
                           { go_on_at(it.software, service); },
                           [&](auto const&)
                           {
                               // Another router may know, or this one soon.
                               refuse(
                                   services_.unavailability.retry_after(
                                       describe_unserved(), retry_not_served),
                                   "stream_origin_unknown");
                           }},
        decision);
}

void exchange::go_on_at(kernel::software_version const& software,
                        std::optional<kernel::service_id> const& service)
{
    requirements_.software = software;
    if (service && *service != requirements_.service)
    {
        if (!sends_to(*route_, *service) ||
            table_->find_service(*service) == nullptr)
            return refuse(services_.unavailability.retry_after(
                              describe_unserved(), retry_not_served),
                          "stream_service_gone");
        requirements_.service = *service;
    }
    attempt();
}

/// Tells where the stream begins, or goes on, as soon as that is known: a
/// caller may take it up at another router at any time.
void exchange::note_origin()
{
    if (route_->kind == route_kind::resumable_stream)
        services_.origins.on_sent(
            begun_by_, requirements_.service,
            requirements_.software.value_or(sent_software_));
}

void exchange::attempt()
{
    if (time_left() < min_time_left)
        return give_up("expired");
    if (reject_if_quarantined())
        return;
    if (auto const delay = services_.quotas.check(quota_))
        return answer_locally(
            status_too_many, "workspace_over_limit",
            services_.unavailability.retry_after(describe_unserved(), *delay));
    // Workspaces may have become isolated since the request arrived.
    requirements_.cache_group = services_.table->cache_group_of(workspace_);
    auto const& target = *table_->find_service(requirements_.service);
    if (target.engine)
    {
        requirements_.max_wait =
            services_.overload.max_wait(route_->target_latency, time_left());
        services_.room.prepare(requirements_, describe_held());
    }
    auto choice = services_.chooser.choose(
        services_.endpoints.of_service(requirements_.service), target,
        requirements_, services_.weights, services_.clock.now());
    if (!choice)
        return handle_unavailable();
    if (runs_ == 0 && ends_with_process() &&
        choice->time_to_first_byte >= time_left())
        return refuse(retry_stopping, "stopping");
    if (refuse_if_overloaded(*choice))
        return;
    send(std::move(*choice));
}

/// Ends the request and returns true if it, or one of its prompt parts,
/// probably crashes endpoints. Another endpoint would be lost with each
/// attempt, along with the requests that run there.
bool exchange::reject_if_quarantined()
{
    auto const until = services_.parts.quarantined_until(keys_);
    if (!until)
        return false;
    // A trial that has not run goes on; others are refused because of it. A
    // crash that was reported since refuses it, too.
    if (is_trial_ && runs_ == 0 && *until <= trial_until_)
        return false;
    auto const left = std::chrono::duration_cast<milliseconds>(
        *until - services_.clock.now());
    auto const whole_request =
        services_.parts.quarantined_until({{}, keys_.request}).has_value();
    auto const* const reason =
        whole_request ? "request_quarantined" : "part_quarantined";
    services_.log.write(reason, "id={} parts={:x} request={:x} left_ms={}", id_,
                        fmt::join(keys_.parts, ","), *keys_.request,
                        left.count());
    // An earlier return would be in vain.
    give_up(reason, left);
    return true;
}

/// Refuses the request and returns true if its expected wait is too long. A
/// request that may already have run is not refused.
bool exchange::refuse_if_overloaded(placement_choice const& choice)
{
    if (runs_ > 0)
        return false;
    if (requirements_.compares_all)
        return hold_if_overloaded(choice);
    place_.reset();
    if (choice.wait <= requirements_.max_wait)
        return false;
    services_.log.write(
        "overloaded", "id={} endpoint={} wait_ms={} limit_ms={} target_ms={}",
        id_, choice.endpoint->entry().id.str(), choice.wait.count(),
        requirements_.max_wait.count(), route_->target_latency.count());
    refuse(
        std::min(services_.overload.retry_after(),
                 services_.unavailability.max_retry_after(describe_unserved())),
        "overloaded");
    return true;
}

/// Lets the request wait or refuses it, and returns true, unless there is
/// capacity for it.
bool exchange::hold_if_overloaded(placement_choice const& choice)
{
    progress_ = progress::choosing;
    auto const decision = services_.room.decide(
        place_, describe_held(), choice,
        [weak = weak_from_this()]
        {
            auto const self = weak.lock();
            if (self != nullptr && self->progress_ == progress::choosing)
                self->attempt();
        });
    if (auto const* const it = std::get_if<room::wait_for_capacity>(&decision))
    {
        if (refuse_if_stopping())
            return true;
        arm(it->until);
    }
    if (auto const* const it = std::get_if<room::refuse_now>(&decision))
        refuse(services_.unavailability.retry_after(describe_unserved(),
                                                    it->time_to_capacity),
               it->reason);
    return !std::holds_alternative<room::send_now>(decision);
}

held_request exchange::describe_held() const
{
    auto const weight =
        workspace_ != nullptr ? table_->weight_of(*workspace_) : 1;
    return {id_,
            *route_,
            workspace_,
            weight,
            requirements_,
            arrived_,
            expires_,
            *keys_.request,
            request_->body.size(),
            services_.overload.max_wait(route_->target_latency, time_left())};
}

/// Waits a short time for an available endpoint, or ends the request.
void exchange::handle_unavailable()
{
    auto const now = services_.clock.now();
    progress_ = progress::choosing;
    if (refuse_if_stopping())
        return;
    if (!waiting_since_)
        waiting_since_ = now;
    // A connection may become free before the next check.
    std::erase_if(requirements_.excluded,
                  [this](auto const& id)
                  {
                      return std::find(without_connection_.begin(),
                                       without_connection_.end(),
                                       id) != without_connection_.end();
                  });
    without_connection_.clear();
    auto const outages =
        find_outages(services_.endpoints.of_service(requirements_.service),
                     requirements_, services_.weights, now);
    // Endpoints with other software cannot take the stream.
    auto const software_gone = requirements_.software && outages.empty();
    std::visit(kernel::overloaded{[this](wait_for_endpoint const& it)
                                  { arm(it.until); },
                                  [&](reject_request const& it)
                                  {
                                      give_up(software_gone
                                                  ? "software_version_gone"
                                                  : it.reason,
                                              it.retry_after);
                                  }},
               services_.unavailability.decide(outages, describe_unserved()));
}

/// Refuses a request that has not run, and returns true, if the process takes
/// no more requests. Another process can hold it for longer.
bool exchange::refuse_if_stopping()
{
    if (!services_.stop.refusing || runs_ > 0)
        return false;
    refuse(retry_stopping, "stopping");
    return true;
}

/// Whether the process ends before the time of the request does.
bool exchange::ends_with_process() const
{
    return expires_ == services_.stop.ends_at;
}

unserved_request exchange::describe_unserved() const
{
    unserved_request res;
    res.seed = requirements_.seed;
    res.target_latency = route_->target_latency;
    res.max_wait =
        services_.overload.max_wait(route_->target_latency, time_left());
    res.waiting_since = waiting_since_.value_or(services_.clock.now());
    res.expires = expires_;
    res.caller_expires = caller_expires_;
    return res;
}

void exchange::send(placement_choice choice)
{
    auto const now = services_.clock.now();
    pool_ = services_.endpoints.pool_of(*choice.endpoint);
    auto const max_idle =
        is_retryable(route_->kind) ? max_idle_retryable : max_idle_at_most_once;
    upstream_ = pool_ == nullptr ? nullptr : pool_->acquire(max_idle, id_);
    endpoint_ = choice.endpoint;
    auto const& entry = endpoint_->entry();
    if (upstream_ == nullptr)
    {
        requirements_.excluded.push_back(entry.id);
        without_connection_.push_back(entry.id);
        return attempt();
    }
    waiting_since_.reset();
    forward_fields fields;
    fields.endpoint = entry.id;
    if (workspace_ != nullptr)
        fields.workspace = workspace_->id;
    fields.time_left = time_left();
    fields.forwards_last_event_id =
        route_->kind == route_kind::resumable_stream;
    fields.resume_after = last_event_;
    if (requirements_.prompt)
    {
        fields.cache_salt = choice.cache_salt;
        fields.version = choice.version;
        fields.kv = choice.kv;
        auto const priority = workspace_ != nullptr && workspace_->priority
                                  ? *workspace_->priority
                                  : route_->priority;
        fields.priority = std::clamp(priority, 0, lowest_priority);
        endpoint_->cache().expect(choice.levels, now);
        services_.metrics.on_prompt(requirements_.prompt->prompt_tokens,
                                    choice.footprint.uncached_tokens);
        services_.metrics.on_mixed(choice.mix);
    }
    footprint_ = choice.footprint;
    sent_generation_ = endpoint_->generation();
    requested_version_ = choice.version;
    cache_use_ = services_.isolations.use_of(*services_.table, workspace_,
                                             requirements_.seed);
    named_version_ =
        requirements_.prompt
            ? services_.weights.target_of(requirements_.prompt->model)
            : 0;
    exchanges_cache_ = !choice.kv.source.empty() || !choice.kv.target.empty();
    sent_software_ = entry.software;
    resumes_ = requirements_.software.has_value();
    note_origin();
    expected_first_byte_ = choice.time_to_first_byte;
    work_ = choice.work;
    response_started_ = false;
    has_output_ = false;
    refused_ = false;
    discarded_bytes_ = 0;
    body_.clear();
    events_.clear();
    count_buffered();
    progress_ = progress::sent;
    sent_at_ = now;
    last_event_at_ = now;
    ++runs_;
    endpoint_->on_sent(footprint_, now);
    counted_by_limit_ = endpoint_->limit().rate().has_value();
    services_.limits.on_sent(*endpoint_);
    services_.quotas.on_sent(quota_);
    is_trial_ = services_.parts.on_sent(id_, keys_);
    if (is_trial_)
        trial_until_ = services_.parts.quarantined_until(keys_).value_or(now);
    services_.metrics.on_attempt();
    services_.log.write_routine(
        "sent",
        "id={} route={} endpoint={} zone={} attempt={} version={} weights={} "
        "prefix={:x} shared={} known={} uncached={} mix={} source={} "
        "expect_ms={} "
        "in_flight={} left_ms={} limit={} request={:x} software={} resumes={} "
        "after_event={}",
        id_, route_->name, entry.id.str(), entry.zone.str(),
        runs_ + refusals_ + failed_connects_, requested_version_,
        to_text(choice.weights), choice.shared.key, choice.shared.tokens,
        choice.reusable_tokens, footprint_.uncached_tokens, choice.mix,
        choice.kv.source, expected_first_byte_.count(), endpoint_->in_flight(),
        time_left().count(), to_text(endpoint_->limit().rate()), *keys_.request,
        entry.software.str(),
        request_->headers.value_or(services_.names.resumed_request, ""),
        resumed_after());
    upstream_->send(pool_->peer(),
                    {build_request_head(*request_, fields, services_.names),
                     {request_, &request_->body},
                     id_,
                     request_->method == "HEAD"},
                    *this);
    arm(next_check());
}

/// The id of the event after which the endpoint is to resume the stream; empty
/// for a new one.
std::string exchange::resumed_after() const
{
    if (last_event_)
        return fmt::to_string(*last_event_);
    return std::string(
        request_->headers.value_or(services_.names.last_event_id, ""));
}

/// While the connection was established, the endpoint may have asked for no
/// requests, or named a limit, in an answer to another one, it may have been
/// replaced, new weights may have been named, or the configuration may have
/// changed.
bool exchange::may_send() const
{
    return !endpoint_->refuses_requests(services_.clock.now()) &&
           (counted_by_limit_ || !endpoint_->limit().rate()) &&
           !has_changed_software() && !has_changed_weights() &&
           requirements_.cache_group ==
               services_.table->cache_group_of(workspace_);
}

bool exchange::has_changed_software() const
{
    return route_->kind == route_kind::resumable_stream &&
           (endpoint_->restarted() ||
            endpoint_->entry().software != sent_software_);
}

/// Whether the KV cache that the request was to exchange with other endpoints
/// may have been computed by newer weights.
bool exchange::has_changed_weights() const
{
    return exchanges_cache_ &&
           named_version_ !=
               services_.weights.target_of(requirements_.prompt->model);
}

sent_request exchange::describe_sent() const
{
    sent_request res{endpoint_, sent_generation_, sent_at_, {}, work_};
    if (requirements_.prompt)
        res.model = requirements_.prompt->model;
    return res;
}

void exchange::on_head(response_head const& head)
{
    auto const keep = shared_from_this();
    auto const now = services_.clock.now();
    response_started_ = true;
    endpoint_->on_response_started(footprint_, now);
    services_.room.on_capacity();
    endpoint_notices(services_).apply(head, describe_sent());
    head_ = head;
    progress_ = progress::collecting;
    refused_ = is_refusal(head, services_.names);
    if (refused_ || head.status >= status_multiple_choices)
        return;
    if (!is_valid_response(head, services_.names))
        return reject_response("improper_answer");
    if (is_stream(route_->kind))
        progress_ = progress::streaming;
}

void exchange::on_body(std::string_view bytes)
{
    auto const keep = shared_from_this();
    endpoint_->on_bytes(services_.clock.now());
    services_.parts.on_endpoint_active(endpoint_->entry());
    switch (progress_)
    {
    case progress::streaming:
        events_.feed(bytes);
        forward_events();
        if (events_.pending() > max_event_bytes)
            return reject_response("event_too_long");
        if (writer_ != nullptr && !count_buffered())
            return reject_response("buffers_full");
        break;
    case progress::collecting:
        // Of an error in the place of the rest of a stream only the status
        // counts.
        if (refused_ || head_forwarded_)
            return discard(bytes.size());
        note_output();
        body_ += bytes;
        if (!count_buffered() || body_.size() > max_collected_bytes)
            begin_relay();
        break;
    case progress::relaying:
        writer_->write(bytes);
        count_buffered();
        break;
    default:
        return;
    }
    if (upstream_ != nullptr && writer_ != nullptr &&
        writer_->queued() > max_queued_bytes)
        upstream_->pause();
}

/// Returns false if this request buffers too much beside the others.
bool exchange::count_buffered()
{
    return buffered_.set(head_.headers.memory() + body_.capacity() +
                             events_.memory(),
                         writer_->queued());
}

void exchange::note_output()
{
    if (!std::exchange(has_output_, true) &&
        head_.status < status_multiple_choices)
        services_.speeds.on_first_output(describe_sent());
}

void exchange::discard(std::size_t n)
{
    discarded_bytes_ += n;
    if (discarded_bytes_ <= max_discarded_bytes)
        return;
    release_upstream(false);
    if (refused_)
        return handle_refusal();
    answer_collected();
}

/// Ends the attempt because of what the endpoint has sent.
void exchange::reject_response(std::string_view reason)
{
    endpoint_->on_error(services_.clock.now());
    release_upstream(false);
    handle_failure(reason);
}

/// Returns false, and ends the attempt, if the endpoint that resumes the stream
/// turns out to have other software than expected.
bool exchange::check_software()
{
    if (origin_unknown_ || !has_changed_software())
        return true;
    auto const& entry = endpoint_->entry();
    services_.log.write("software_changed",
                        "id={} endpoint={} from={} to={} restarted={}", id_,
                        entry.id.str(), sent_software_.str(),
                        entry.software.str(), endpoint_->restarted());
    if (resumes_)
    {
        reject_response("software_changed");
        return false;
    }
    // The stream goes on here, but it is not known at which version it began.
    origin_unknown_ = true;
    requirements_.software =
        kernel::software_version(sent_software_.str() + " or unknown");
    note_origin();
    return true;
}

void exchange::forward_events()
{
    while (auto const event = events_.next())
    {
        if (!check_software())
            return;
        note_output();
        // A resumed stream may begin with events that were already forwarded.
        if (event->id && last_event_ && *event->id <= *last_event_)
            continue;
        begin_stream();
        if (event->id)
            last_event_ = event->id;
        last_event_at_ = services_.clock.now();
        writer_->write(event->text);
    }
    if (is_retryable(route_->kind))
        arm(next_check());
}

void exchange::begin_stream()
{
    if (std::exchange(head_forwarded_, true))
        return;
    if (!requirements_.software)
        requirements_.software = sent_software_;
    services_.metrics.on_first_byte(since(arrived_), footprint_.is_long);
    writer_->begin(head_.status, answer_headers(head_, services_.names),
                   std::nullopt);
}

/// Starts to forward a response that is too long to buffer.
void exchange::begin_relay()
{
    if (promises_not_run(head_.status))
    {
        release_upstream(false);
        return answer_collected();
    }
    auto const length = kernel::parse_number<std::uint64_t>(
        head_.headers.value_or("Content-Length", ""));
    head_forwarded_ = true;
    progress_ = progress::relaying;
    services_.metrics.on_first_byte(since(arrived_));
    writer_->begin(head_.status, answer_headers(head_, services_.names),
                   length);
    writer_->write(body_);
    kernel::free_memory(body_);
    count_buffered();
}

void exchange::on_end()
{
    auto const keep = shared_from_this();
    auto const now = services_.clock.now();
    release_upstream(true);
    if (refused_)
        return handle_refusal();
    switch (progress_)
    {
    case progress::streaming:
        if (events_.pending() > 0)
        {
            endpoint_->on_error(now);
            return resume_stream("cut_event");
        }
        // Without a length, the end of an engine's process looks the same.
        if (head_.ends_with_connection && !has_output_)
        {
            endpoint_->on_no_response(now);
            note_crash();
            return resume_stream("no_event");
        }
        endpoint_->on_success(now);
        note_served();
        begin_stream();
        writer_->end();
        return finish("complete");
    case progress::relaying:
        endpoint_->on_success(now);
        note_served();
        writer_->end();
        return finish("complete");
    case progress::collecting:
        return answer_collected();
    default:
        return;
    }
}

/// The connection ended. If the endpoint had not begun to write an answer, it
/// may have crashed under this request.
void exchange::note_crash()
{
    if (!has_output_)
        services_.parts.on_crash(id_, endpoint_->entry(), keys_);
}

/// Ends an attempt whose response is not waited for any more. If the endpoint
/// crashes later, it may do so under this request.
void exchange::abandon_attempt()
{
    auto const unanswered = upstream_ != nullptr && !has_output_ && !refused_;
    release_upstream(false);
    if (!unanswered)
        return;
    // A trial that is not answered must not be followed by the next one. An
    // endpoint that goes on sending to others has not crashed under it so far.
    if (is_trial_ && !endpoint_->has_sent_since(std::max(
                         sent_at_, services_.clock.now() - max_silence)))
        services_.parts.on_crash(id_, endpoint_->entry(), keys_);
    else
        services_.parts.on_abandoned(id_, endpoint_->entry(), keys_);
}

/// An endpoint that has answered completely does not crash on these parts.
void exchange::note_served()
{
    if (head_.status < status_multiple_choices)
        services_.parts.on_served(keys_);
}

void exchange::answer_collected()
{
    auto const now = services_.clock.now();
    auto const status = head_.status;
    if (head_forwarded_)
    {
        endpoint_->on_error(now);
        return resume_stream(fmt::format("status_{}", status));
    }
    if (status >= status_server_error)
    {
        endpoint_->on_error(now);
        if (has_alternative() &&
            prepare_retry(fmt::format("status_{}", status)))
            return attempt();
    }
    else
    {
        endpoint_->on_success(now);
        note_served();
    }
    // The endpoint did not state that the request has not run.
    if (promises_not_run(status))
        return answer_locally(status_bad_gateway, "endpoint_failed");
    services_.metrics.on_first_byte(since(arrived_));
    services_.log.write_routine(
        "answered", "id={} endpoint={} status={} bytes={} took_ms={}", id_,
        endpoint_->entry().id.str(), status, body_.size(),
        since(arrived_).count());
    writer_->answer(status, answer_headers(head_, services_.names),
                    std::move(body_));
    finish(fmt::format("{}xx", status / 100));
}

void exchange::on_failure(upstream_failure failure)
{
    auto const keep = shared_from_this();
    auto const now = services_.clock.now();
    release_upstream(false);
    if (failure == upstream_failure::withdrawn)
    {
        --runs_;
        services_.log.write("withdrawn", "id={} endpoint={} waited_ms={}", id_,
                            endpoint_->entry().id.str(),
                            since(sent_at_).count());
        return attempt();
    }
    if (failure == upstream_failure::truncated ||
        failure == upstream_failure::not_http ||
        failure == upstream_failure::wrong_response)
        endpoint_->on_error(now);
    else
        endpoint_->on_no_response(now);
    if (failure == upstream_failure::no_answer ||
        failure == upstream_failure::truncated)
        note_crash();
    if (failure != upstream_failure::not_connected)
        return handle_failure(to_text(failure));
    --runs_;
    ++failed_connects_;
    services_.parts.on_unreachable(endpoint_->entry());
    requirements_.excluded.push_back(endpoint_->entry().id);
    services_.log.write("connect_failed", "id={} endpoint={} waited_ms={}", id_,
                        endpoint_->entry().id.str(), since(sent_at_).count());
    if (failed_connects_ > max_failed_connects)
        return give_up("no_connection");
    attempt();
}

/// Handles a response by which the endpoint states that it did not run the
/// request.
void exchange::handle_refusal()
{
    --runs_;
    ++refusals_;
    auto const& entry = endpoint_->entry();
    endpoint_notices(services_).apply_refusal(head_, describe_sent(),
                                              requested_version_);
    auto const version =
        requirements_.prompt
            ? endpoint_->version_of(requirements_.prompt->model)
            : 0;
    services_.log.write(
        "refused_by_endpoint",
        "id={} endpoint={} status={} asked_version={} has_version={} "
        "instance={} refusals={}",
        id_, entry.id.str(), head_.status, requested_version_, version,
        head_.headers.value_or(services_.names.endpoint, ""), refusals_);
    // An endpoint that has meanwhile loaded newer weights may be tried again.
    if (version <= requested_version_)
        requirements_.excluded.push_back(entry.id);
    if (refusals_ > max_refusals ||
        !services_.budgets.try_retry(requirements_.service, id_, "refused"))
        return give_up("refused_by_endpoint");
    attempt();
}

/// Handles a failure after which the request may have run and no response will
/// arrive.
void exchange::handle_failure(std::string_view reason)
{
    services_.log.write("failed",
                        "id={} endpoint={} reason={} after_ms={} passed={} "
                        "last_event={} output={} parts={:x} request={:x}",
                        id_, endpoint_->entry().id.str(), reason,
                        since(sent_at_).count(), head_forwarded_,
                        last_event_.value_or(0), has_output_,
                        fmt::join(keys_.parts, ","), *keys_.request);
    if (head_forwarded_)
        return resume_stream(reason);
    if (prepare_retry(reason))
        return attempt();
    give_up(reason);
}

bool exchange::prepare_retry(std::string_view reason)
{
    if (!is_retryable(route_->kind) || runs_ >= route_->max_attempts)
        return false;
    // Another endpoint would be lost if the request crashes them.
    if (is_trial_)
        return false;
    if (time_left() < min_time_left)
        return false;
    if (!services_.budgets.try_retry(requirements_.service, id_, reason))
        return false;
    requirements_.excluded.push_back(endpoint_->entry().id);
    return true;
}

/// Whether another endpoint can take the request now and is expected to respond
/// in time. Without one, a response that has arrived or may still arrive is
/// kept.
bool exchange::has_alternative() const
{
    return find_alternative().has_value();
}

std::optional<placement_choice> exchange::find_alternative() const
{
    auto requirements = requirements_;
    requirements.cache_group = services_.table->cache_group_of(workspace_);
    requirements.excluded.push_back(endpoint_->entry().id);
    auto choice = services_.chooser.choose(
        services_.endpoints.of_service(requirements.service),
        *table_->find_service(requirements.service), requirements,
        services_.weights, services_.clock.now());
    if (choice && choice->time_to_first_byte >= time_left())
        choice.reset();
    return choice;
}

/// Whether the request may be sent to another endpoint while this one runs it:
/// without the id of an event, no endpoint can be told where to go on.
bool exchange::may_run_again() const
{
    if (!is_retryable(route_->kind) || runs_ >= route_->max_attempts ||
        is_trial_)
        return false;
    return !head_forwarded_ || (is_stream(route_->kind) && last_event_);
}

/// When the request leaves the endpoint because it shares KV cache there with a
/// workspace that has become isolated.
std::optional<isolation_watch::departure> exchange::departure() const
{
    if (!requirements_.prompt || refused_ || !may_run_again())
        return std::nullopt;
    auto res = services_.isolations.departure_of(cache_use_);
    if (res)
        res->at = std::max(res->at, isolation_retry_at_);
    return res;
}

/// Sends the request to another endpoint, if one has room for it, so that it
/// goes on in its present cache group. Requests of the other workspaces leave
/// half of the retries to failures.
void exchange::on_isolation(isolation_watch::departure const& reason)
{
    auto const choice = find_alternative();
    auto const has_room =
        choice && choice->fits_memory && choice->wait <= requirements_.max_wait;
    auto const may_retry =
        reason.is_own || services_.budgets.has_spare(requirements_.service);
    if (!has_room || !may_retry || !prepare_retry("isolated"))
    {
        isolation_retry_at_ = services_.clock.now() + recheck_interval;
        return arm(next_check());
    }
    services_.log.write("isolated", "id={} endpoint={} passed={} last_event={}",
                        id_, endpoint_->entry().id.str(), head_forwarded_,
                        last_event_.value_or(0));
    abandon_attempt();
    attempt();
}

/// Resumes the stream at another endpoint after the last forwarded event.
void exchange::resume_stream(std::string_view reason)
{
    auto const resumable = is_stream(route_->kind) &&
                           (!head_forwarded_ || last_event_) &&
                           prepare_retry(reason);
    if (resumable)
        return attempt();
    give_up(reason);
}

void exchange::release_upstream(bool ended)
{
    if (upstream_ == nullptr)
        return;
    endpoint_->on_finished(footprint_, response_started_);
    services_.room.on_capacity();
    auto conn = std::exchange(upstream_, nullptr);
    if (!ended)
        conn->abandon();
    pool_->release(std::move(conn));
}

/// Ends the request without a response of an endpoint.
void exchange::give_up(std::string_view reason,
                       std::optional<milliseconds> retry_after)
{
    if (head_forwarded_)
    {
        services_.log.write("cut", "id={} reason={} took_ms={}", id_, reason,
                            since(arrived_).count());
        auto* const writer = writer_;
        finish("cut");
        writer->abort();
        return;
    }
    if (runs_ == 0)
        return refuse(retry_after.value_or(time_to_return()), reason);
    answer_locally(time_left() < min_time_left ? status_gateway_timeout
                                               : status_bad_gateway,
                   reason);
}

/// The `Retry-After` of a request that no endpoint has run.
milliseconds exchange::time_to_return() const
{
    if (services_.stop.refusing)
        return retry_stopping;
    return services_.unavailability.retry_after(
        describe_unserved(), refusals_ > 0 ? retry_refused : retry_not_served);
}

void exchange::refuse(milliseconds retry_after, std::string_view reason)
{
    answer_locally(status_unavailable, reason, retry_after);
}

void exchange::answer_locally(int status, std::string_view reason,
                              std::optional<milliseconds> retry_after)
{
    services_.log.write("gave_up",
                        "id={} status={} reason={} runs={} refusals={} "
                        "retry_after_ms={} took_ms={}",
                        id_, status, reason, runs_, refusals_,
                        retry_after.value_or(milliseconds(0)).count(),
                        since(arrived_).count());
    auto* const writer = writer_;
    finish(fmt::format("own_{}", status));
    writer->answer(status,
                   local_answer_headers(id_, retry_after, services_.names),
                   fmt::format("{}\n", reason));
}

void exchange::finish(std::string const& outcome)
{
    progress_ = progress::ended;
    timer_.cancel();
    if (runs_ == 0)
        services_.quotas.give_back(quota_);
    place_.reset();
    services_.metrics.on_request_end(outcome, since(arrived_));
    if (outcome == "complete")
        services_.log.write_routine(
            "completed", "id={} endpoint={} last_event={} took_ms={}", id_,
            endpoint_->entry().id.str(), last_event_.value_or(0),
            since(arrived_).count());
    writer_ = nullptr;
}

void exchange::on_caller_gone()
{
    if (progress_ == progress::ended)
        return;
    auto const keep = shared_from_this();
    services_.log.write("caller_gone", "id={} sent={} passed={} took_ms={}",
                        id_, upstream_ != nullptr, head_forwarded_,
                        since(arrived_).count());
    abandon_attempt();
    finish("caller_gone");
}

void exchange::on_caller_ready()
{
    if (writer_ == nullptr)
        return;
    count_buffered();
    if (upstream_ != nullptr && writer_->queued() <= max_queued_bytes)
        upstream_->resume();
}

void exchange::on_stop()
{
    if (progress_ == progress::ended)
        return;
    auto const keep = shared_from_this();
    expires_ = std::min(expires_, services_.stop.ends_at);
    if (progress_ == progress::choosing && refuse_if_stopping())
        return;
    if (timer_.expiry() > expires_ + expiry_slack)
        arm(expires_ + expiry_slack);
}

void exchange::arm(kernel::steady_time at)
{
    timer_.expires_at(std::min(at, expires_ + expiry_slack));
    timer_.async_wait(
        [weak = weak_from_this()](std::error_code ec)
        {
            auto const self = weak.lock();
            if (!ec && self != nullptr && self->progress_ != progress::ended)
                self->on_timer();
        });
}

void exchange::on_timer()
{
    auto const now = services_.clock.now();
    if (now >= expires_)
    {
        abandon_attempt();
        return give_up(ends_with_process() ? "stopping" : "expired");
    }
    if (progress_ == progress::choosing)
        return attempt();
    auto const deadline = stall_deadline();
    if (deadline && now >= *deadline)
        return on_stall();
    auto const leaves = departure();
    if (leaves && now >= leaves->at)
        return on_isolation(*leaves);
    arm(next_check());
}

/// Returns the time at which a retryable request is sent to another endpoint
/// because this one does not respond. Other requests wait until they expire.
std::optional<kernel::steady_time> exchange::stall_deadline() const
{
    if (!may_run_again())
        return std::nullopt;
    auto const stalled = endpoint_->stalled(services_.clock.now());
    if (!head_forwarded_)
        return sent_at_ +
               first_byte_timeout(*route_, expected_first_byte_, stalled);
    return last_event_at_ + event_gap_timeout(*route_, stalled);
}

void exchange::on_stall()
{
    auto const now = services_.clock.now();
    if (!has_alternative())
        return arm(now + recheck_interval);
    if (!prepare_retry("silent"))
        return arm(expires_ + expiry_slack);
    services_.log.write(
        "silent", "id={} endpoint={} waited_ms={} passed={} request={:x}", id_,
        endpoint_->entry().id.str(), since(sent_at_).count(), head_forwarded_,
        *keys_.request);
    if (endpoint_->stalled(now))
        endpoint_->on_no_response(now);
    else
        endpoint_->on_error(now);
    abandon_attempt();
    attempt();
}

/// Returns the time of the next check whether to keep waiting.
kernel::steady_time exchange::next_check() const
{
    auto const end = expires_ + expiry_slack;
    auto const deadline = stall_deadline();
    if (!deadline)
        return end;
    // The endpoint may stall or recover in the meantime, which moves the
    // deadline.
    auto const leaves = departure();
    return std::min({end, *deadline, leaves ? leaves->at : end,
                     services_.clock.now() + recheck_interval});
}

milliseconds exchange::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(expires_ -
                                                    services_.clock.now());
}

milliseconds exchange::since(kernel::steady_time begin) const
{
    return std::chrono::duration_cast<milliseconds>(services_.clock.now() -
                                                    begin);
}

} // namespace endiveward::gateway
