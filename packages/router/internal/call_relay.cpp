#include "router/call_relay.hpp"

#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "config/types/model_entry.hpp"
#include "config/types/routing_key.hpp"
#include "config/types/service_entry.hpp"
#include "kernel/i_random_source.hpp"
#include "placement/i_placement.hpp"
#include "placement/types/placement_choice.hpp"
#include "router/crash_watch.hpp"
#include "router/error_body.hpp"
#include "router/i_agent_directory.hpp"
#include "router/i_caller_response.hpp"
#include "router/peer_channel.hpp"
#include "router/relay_services.hpp"
#include "router/router_metrics.hpp"

#include <asio/post.hpp>

#include <algorithm>

namespace endiveward::router
{

namespace
{

constexpr char const* event_stream_type = "text/event-stream";

std::uint64_t size_of(std::vector<std::string> const& parts)
{
    std::uint64_t n = 0;
    for (auto const& it : parts)
        n += it.size();
    return n;
}

call_policy policy_of(call_request const& request,
                      relay_services const& services)
{
    call_policy policy;
    policy.streaming = request.streaming;
    policy.idempotent = request.idempotent;
    policy.max_attempts = services.max_attempts;
    policy.max_answer_bytes = services.max_answer_bytes;
    return policy;
}

kernel::error not_run(kernel::error_kind kind, char const* message)
{
    return {kind, message, kernel::run_state::not_run, {}};
}

} // namespace

call_relay::call_relay(asio::io_context& context,
                       std::shared_ptr<relay_services const> services,
                       call_request request,
                       std::shared_ptr<i_caller_response> response,
                       std::function<void()> on_finished)
    : context_(context)
    , services_(std::move(services))
    , request_(std::move(request))
    , response_(std::move(response))
    , on_finished_(std::move(on_finished))
    , request_key_(make_request_key(request_))
    // Another endpoint would be lost if the call crashes them.
    , machine_(policy_of(request_, *services_), [this]
               { return !is_trial_ && services_->try_take_retry_token(); })
    , arrival_(services_->clock->now())
    , deadline_(arrival_ + request_.timeout)
    , deadline_timer_(context)
    , step_timer_(context)
{
    placement_request_.model = request_.model;
    placement_request_.prompt_bytes = size_of(request_.prompt_parts);
    placement_request_.idempotency_key = request_.idempotency_key;
}

void call_relay::start()
{
    asio::post(context_, [self = shared_from_this()] { self->begin(); });
}

void call_relay::begin()
{
    services_->on_request();
    start_timer(deadline_timer_, deadline_, deadline_expired{});
    perform_all(machine_.start());
}

void call_relay::on_call_event(call_event event)
{
    asio::post(context_,
               [self = shared_from_this(), event = std::move(event)]() mutable
               { self->handle(std::move(event)); });
}

void call_relay::handle(call_event event)
{
    if (!machine_.finished())
        record_event(event);
    auto const dropped = machine_.dropped();
    perform_all(machine_.handle(std::move(event)));
    if (machine_.dropped() > dropped)
        services_->metrics->on_dropped(machine_.dropped() - dropped);
}

/// Updates placement and records what the response headers and the metrics
/// need.
void call_relay::record_event(call_event const& event)
{
    if (auto const* it = std::get_if<verdict_received>(&event);
        it != nullptr && it->leg == machine_.leg())
    {
        services_->placement->on_verdict(placement_request_, endpoint_,
                                         it->verdict);
        if (!it->verdict.refusal)
            cached_bytes_ = it->verdict.hit_bytes;
    }
    if (auto const* it = std::get_if<call_end_received>(&event);
        it != nullptr && it->leg == machine_.leg())
    {
        cached_bytes_ = it->end.cached_bytes;
        prompt_bytes_ = it->end.prompt_bytes;
        record_end(it->end);
    }
    if (auto const* it = std::get_if<chunk_received>(&event);
        it != nullptr && it->leg == machine_.leg())
        has_output_ = true;
}

/// An endpoint that ends without output may have crashed under this call.
void call_relay::record_end(wire::call_end const& end)
{
    if (!end.failure)
    {
        services_->crashes->on_served(request_key_);
        return;
    }
    if (end.endpoint_ended && !has_output_)
        services_->crashes->on_crash(request_.request_id, endpoint_,
                                     end.load.engine_incarnation, request_key_);
}

void call_relay::perform_all(call_state_machine::actions actions)
{
    for (auto& action : actions)
        std::visit([this](auto& it) { perform(it); }, action);
}

// Choice of the endpoint

void call_relay::perform(choose_endpoint& action)
{
    // Each attempt is a new stream, so that chunks of an earlier attempt never
    // mix in.
    detach_channel();
    placement_request_.excluded = std::move(action.excluded);
    auto chosen = choose();
    if (!wait_for_remote(chosen))
        perform_all(machine_.handle(std::move(chosen)));
}

/// Starts to wait for a connection to another region if this one has no
/// eligible endpoint, at most once for a call. Returns whether the call waits.
bool call_relay::wait_for_remote(call_event const& event)
{
    auto const* none = std::get_if<no_endpoint_chosen>(&event);
    if (none == nullptr || remote_connection_tried_ ||
        none->reason.kind != kernel::error_kind::no_eligible_endpoint ||
        !placement_request_.excluded.empty() || !placement_request_.allowed)
        return false;
    remote_connection_tried_ = true;
    auto const opening = services_->agents->connect_to_remote_endpoints(
        routing_key(), *placement_request_.allowed);
    if (opening.empty())
        return false;
    awaiting_remote_ = true;
    step_timer_.expires_at(services_->clock->now() + services_->remote_timeout);
    step_timer_.async_wait(
        [weak = weak_from_this()](std::error_code ec)
        {
            auto const self = weak.lock();
            if (!ec && self)
                self->on_remote_wait_ended();
        });
    for (auto const& it : opening)
        services_->agents->when_open(
            it, weak_from_this(),
            [weak = weak_from_this()](std::shared_ptr<peer_channel> const&)
            {
                if (auto const self = weak.lock())
                    asio::post(self->context_,
                               [self] { self->on_remote_wait_ended(); });
            });
    return true;
}

void call_relay::on_remote_wait_ended()
{
    if (!std::exchange(awaiting_remote_, false) || machine_.finished())
        return;
    step_timer_.cancel();
    perform_all(machine_.handle(choose()));
}

config::routing_key call_relay::routing_key() const
{
    return {request_.workspace, request_.model, placement_request_.version,
            request_.service};
}

call_event call_relay::choose()
{
    if (!find_allowed())
        return no_endpoint_chosen{no_endpoint_error_};
    if (auto reason = check_quarantine())
        return no_endpoint_chosen{std::move(*reason)};
    placement_request_.time_left = time_left();
    auto const res = services_->placement->choose(placement_request_);
    if (!kernel::ok(res))
        return no_endpoint_chosen{kernel::failure(res)};
    return endpoint_chosen{kernel::value(res).endpoint};
}

std::optional<kernel::error> call_relay::check_quarantine() const
{
    auto const until = services_->crashes->quarantined_until(request_key_);
    if (!until)
        return std::nullopt;
    auto res = not_run(kernel::error_kind::overloaded,
                       "endpoints have crashed under this call; it is refused "
                       "for a time, then tried again");
    // A call with this key may have run before it came here.
    if (!request_.idempotency_key.empty())
    {
        res.kind = kernel::error_kind::outcome_unknown;
        res.run = kernel::run_state::unknown;
    }
    res.retry_after = std::chrono::ceil<std::chrono::milliseconds>(
        *until - services_->clock->now());
    return res;
}

std::chrono::milliseconds call_relay::time_left() const
{
    using std::chrono::milliseconds;
    auto const left = deadline_ - services_->clock->now();
    return std::max(std::chrono::duration_cast<milliseconds>(left),
                    milliseconds(0));
}

bool call_relay::find_allowed()
{
    if (request_.target == wire::target_kind::service)
        return find_allowed_for_service();
    return find_allowed_for_model();
}

bool call_relay::find_allowed_for_service()
{
    auto const config = services_->configuration->current();
    config_version_ = config->version();
    if (config->find_service(request_.service) == nullptr)
    {
        no_endpoint_error_ =
            not_run(kernel::error_kind::service_not_found,
                    "no service has this name; check the path's second part");
        return false;
    }
    placement_request_.allowed = config->allowed_endpoints(
        {request_.workspace, {}, {}, request_.service});
    if (placement_request_.allowed && !placement_request_.allowed->empty())
        return true;
    no_endpoint_error_ =
        not_run(kernel::error_kind::no_eligible_endpoint,
                "no rule lets the workspace use this service; ask "
                "the operators");
    return false;
}

bool call_relay::find_allowed_for_model()
{
    auto const config = services_->configuration->current();
    config_version_ = config->version();
    auto const* model = config->find_model(request_.model);
    if (model == nullptr)
    {
        no_endpoint_error_ =
            not_run(kernel::error_kind::model_not_found,
                    "no model has this name; GET /v1/models lists "
                    "the names");
        return false;
    }
    for (auto const& it : model->versions)
    {
        auto allowed = config->allowed_endpoints(
            {request_.workspace, request_.model, it.version, {}});
        if (!allowed || allowed->empty())
            continue;
        placement_request_.allowed = std::move(allowed);
        if (placement_request_.version != it.version)
        {
            placement_request_.version = it.version;
            update_prefix_levels();
        }
        return true;
    }
    no_endpoint_error_ =
        not_run(kernel::error_kind::no_eligible_endpoint,
                "no rule lets the workspace use this model; ask the "
                "operators");
    return false;
}

/// Different model versions have different blocks.
void call_relay::update_prefix_levels()
{
    placement_request_.levels = services_->make_prefix_levels(
        request_.workspace, request_.model, placement_request_.version,
        request_.prompt_parts);
}

// Messages to the agent

void call_relay::perform(send_invoke& action)
{
    endpoint_ = action.endpoint;
    cached_bytes_ = 0;
    prompt_bytes_ = 0;
    has_output_ = false;
    is_trial_ = services_->crashes->on_sent(request_.request_id, request_key_);
    services_->placement->on_sent(placement_request_, endpoint_);
    if (machine_.attempts() > 1)
        services_->metrics->on_retry();
    stream_id_ = {services_->random->next(), services_->random->next()};
    channel_ = services_->agents->find(endpoint_);
    auto const id = channel_ ? channel_->open_call(weak_from_this(), action.leg)
                             : std::nullopt;
    if (!id)
    {
        channel_.reset();
        on_call_event(
            invoke_written{action.leg, wire::write_outcome::not_started});
        return;
    }
    call_id_ = *id;
    // Counts as a use of the remote connections of this traffic and reopens
    // lost ones.
    if (channel_->peer().region != services_->region)
        services_->agents->connect_to_remote_endpoints(
            routing_key(), *placement_request_.allowed);
    channel_->send(make_invoke(call_id_),
                   [self = shared_from_this(),
                    leg = action.leg](wire::write_outcome outcome) {
                       self->on_call_event(invoke_written{leg, outcome});
                   });
}

wire::message call_relay::make_invoke(std::uint64_t call_id) const
{
    wire::invoke msg;
    msg.call_id = call_id;
    msg.stream_id = stream_id_;
    msg.workspace = request_.workspace;
    msg.model = request_.model;
    msg.version = placement_request_.version;
    msg.service = request_.service;
    msg.target = request_.target;
    msg.method = request_.method;
    msg.path = request_.path;
    msg.headers = request_.headers;
    msg.body = request_.body;
    msg.streaming = request_.streaming;
    msg.idempotent = request_.idempotent;
    msg.idempotency_key = request_.idempotency_key;
    msg.deadline = time_left();
    msg.priority = request_.priority;
    msg.config_version = config_version_;
    msg.prefix_levels = placement_request_.levels;
    msg.request_id = request_.request_id;
    return msg;
}

void call_relay::perform(send_resume& action)
{
    detach_channel();
    services_->metrics->on_resume();
    start_timer(step_timer_,
                services_->clock->now() + services_->resume_timeout,
                resume_failed{action.leg});
    services_->agents->when_open(
        action.endpoint, weak_from_this(),
        [weak = weak_from_this(), leg = action.leg,
         next = action.next](std::shared_ptr<peer_channel> const& channel)
        {
            auto const self = weak.lock();
            if (!self)
                return;
            asio::post(self->context_, [self, channel, leg, next]
                       { self->resume_on(channel, leg, next); });
        });
}

void call_relay::resume_on(std::shared_ptr<peer_channel> const& channel,
                           leg_number leg, std::uint64_t next)
{
    if (machine_.finished() || leg != machine_.leg())
        return;
    auto const id = channel->open_call(weak_from_this(), leg);
    if (!id)
    {
        handle(agent_connection_lost{leg});
        return;
    }
    channel_ = channel;
    call_id_ = *id;
    channel_->send(wire::resume{call_id_, stream_id_, next});
}

void call_relay::perform(send_cancel&)
{
    if (channel_)
        channel_->send(wire::cancel{call_id_});
}

void call_relay::perform(send_ack& action)
{
    if (channel_)
        channel_->send(wire::chunk_ack{call_id_, action.next});
}

void call_relay::detach_channel()
{
    if (!channel_)
        return;
    channel_->close_call(call_id_);
    channel_.reset();
}

// Timers and membership

void call_relay::start_timer(asio::steady_timer& timer,
                             kernel::steady_time expiry, call_event event)
{
    timer.expires_at(expiry);
    timer.async_wait(
        [weak = weak_from_this(),
         event = std::move(event)](std::error_code ec) mutable
        {
            auto const self = weak.lock();
            if (!ec && self)
                self->handle(std::move(event));
        });
}

void call_relay::perform(start_verdict_timer& action)
{
    start_timer(step_timer_,
                services_->clock->now() + services_->verdict_timeout,
                verdict_timer_expired{action.leg});
}

void call_relay::perform(mark_endpoint_suspect& action)
{
    services_->agents->mark_suspect(action.endpoint);
}

void call_relay::perform(catch_up& action)
{
    services_->agents->catch_up(
        action.endpoint, action.version, weak_from_this(),
        [weak = weak_from_this(), leg = action.leg]
        {
            if (auto const self = weak.lock())
                self->on_call_event(configuration_caught_up{leg});
        });
}

void call_relay::perform(release_endpoint& action)
{
    services_->placement->on_finished(placement_request_, action.endpoint,
                                      action.load ? &*action.load : nullptr);
}

// Response to the caller

void call_relay::perform(forward_chunk& action)
{
    if (!stream_begun_)
    {
        stream_begun_ = true;
        services_->metrics->on_first_chunk(services_->clock->now() - arrival_);
        response_->begin_stream(200, response_fields(event_stream_type));
    }
    // Flow control: the agent frees a chunk in its buffer only after the chunk
    // was written to the caller.
    response_->write(std::move(action.bytes),
                     [weak = weak_from_this(), next = action.next](bool written)
                     {
                         auto const self = weak.lock();
                         if (!self)
                             return;
                         if (written)
                             self->on_call_event(caller_write_completed{next});
                         else
                             self->on_call_event(caller_disconnected{});
                     });
}

void call_relay::perform(buffer_chunk& action)
{
    buffered_body_ += action.bytes;
}

void call_relay::perform(discard_buffered&)
{
    buffered_body_.clear();
}

void call_relay::perform(finish_stream&)
{
    if (!stream_begun_)
        response_->begin_stream(200, response_fields(event_stream_type));
    response_->write("data: [DONE]\n\n", {});
    response_->end_stream();
    end_call("ok");
}

void call_relay::perform(finish_buffered& action)
{
    auto const type =
        action.content_type.empty() ? "application/json" : action.content_type;
    response_->send_complete(action.http_status == 0 ? 200 : action.http_status,
                             response_fields(type), std::move(buffered_body_));
    end_call("ok");
}

void call_relay::perform(finish_error& action)
{
    auto const body = make_error_body(action.failure);
    if (stream_begun_)
    {
        response_->write("data: " + body + "\n\n", {});
        response_->end_stream();
    }
    else
    {
        auto fields = response_fields("application/json");
        add_retry_after(action.failure, fields);
        response_->send_complete(kernel::http_status(action.failure.kind),
                                 fields, body + "\n");
    }
    end_call(kernel::to_string(action.failure.kind));
}

void call_relay::perform(abandon&)
{
    end_call("caller_left");
}

std::vector<wire::header>
call_relay::response_fields(std::string content_type) const
{
    std::vector<wire::header> fields{{"Content-Type", std::move(content_type)},
                                     {"X-Request-Id", request_.request_id}};
    if (endpoint_.empty())
        return fields;
    fields.push_back({"X-Endiveward-Endpoint", endpoint_.str()});
    fields.push_back(
        {"X-Endiveward-Cached-Bytes", std::to_string(cached_bytes_)});
    return fields;
}

void call_relay::end_call(std::string_view code)
{
    deadline_timer_.cancel();
    step_timer_.cancel();
    detach_channel();
    if (prompt_bytes_ > 0)
        services_->metrics->on_prompt(prompt_bytes_, cached_bytes_);
    services_->metrics->on_response(code);
    response_.reset();
    if (auto const handler = std::exchange(on_finished_, {}))
        handler();
}

} // namespace endiveward::router
