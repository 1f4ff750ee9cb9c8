#include "agent/internal/endpoint_exchange.hpp"

#include "agent/i_endpoint_observer.hpp"
#include "agent/internal/http_transport.hpp"
#include "agent/types/endpoint_notices.hpp"
#include "availability/leaving_notice_reader.hpp"
#include "availability/limit_notice_reader.hpp"
#include "availability/retry_after_reader.hpp"

#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace endiveward::agent
{

namespace
{

// Engines keep a broken stream for 10 s. Resume attempts without progress end
// well before that, so that the failure is reported to the caller.
constexpr unsigned max_resume_attempts = 6;
constexpr std::chrono::milliseconds initial_retry_delay{50};
constexpr std::uint64_t bytes_per_token = 4;
// Token usage is only read from response bodies up to this size.
constexpr std::size_t max_usage_body_bytes = 1U << 20U;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

endpoint_notices read_notices(http_head const& head)
{
    auto const find = [&](char const* name) -> std::optional<std::string_view>
    {
        auto const it = head.headers.find(name);
        if (it == head.headers.end())
            return std::nullopt;
        return it->second;
    };
    endpoint_notices res;
    res.limit = availability::read_limit_notice(find("x-request-limit"));
    res.leaving = availability::read_leaving_notice(find("x-leaving"));
    if (head.status == status_unavailable)
        res.pause =
            availability::read_retry_after(find("retry-after"), find("date"));
    return res;
}

kernel::error unknown_outcome(kernel::error_kind kind, std::string message)
{
    return {kind, std::move(message), kernel::run_state::unknown, {}};
}

} // namespace

endpoint_exchange::endpoint_exchange(asio::io_context& context,
                                     http_transport& transport,
                                     i_endpoint_observer& observer,
                                     std::uint64_t id, std::string base_url,
                                     endpoint_request request)
    : context_(context)
    , transport_(transport)
    , observer_(observer)
    , id_(id)
    , base_url_(std::move(base_url))
    , request_(std::move(request))
    , timer_(context_)
{
}

void endpoint_exchange::start()
{
    start_transfer(initial_request());
}

void endpoint_exchange::pause()
{
    paused_ = true;
    transport_.pause(transfer_);
}

void endpoint_exchange::resume()
{
    paused_ = false;
    transport_.resume(transfer_);
}

void endpoint_exchange::cancel()
{
    if (std::exchange(ended_, true))
        return;
    abort_at_endpoint();
}

bool endpoint_exchange::is_engine() const
{
    return request_.target == wire::target_kind::engine;
}

bool endpoint_exchange::is_event_stream() const
{
    return is_engine() && request_.streaming && head_.status == status_ok;
}

http_handlers endpoint_exchange::make_handlers()
{
    http_handlers handlers;
    handlers.on_head = [self = shared_from_this()](http_head const& head)
    { self->on_head(head); };
    handlers.on_data = [self = shared_from_this()](std::string bytes)
    { self->on_data(std::move(bytes)); };
    handlers.on_end = [self = shared_from_this()](http_end const& end)
    { self->on_transfer_end(end); };
    return handlers;
}

http_request endpoint_exchange::initial_request() const
{
    http_request request;
    request.method = request_.method;
    request.url = base_url_ + request_.path;
    request.headers = request_.headers;
    request.body = request_.body;
    request.at_most_once = true;
    if (!is_engine())
        return request;
    request.headers.push_back({"Content-Type", "application/json"});
    request.headers.push_back({"X-Stream-Id", request_.stream_id});
    request.headers.push_back({"X-Model-Version", request_.model_version});
    return request;
}

http_request endpoint_exchange::resume_request() const
{
    http_request request;
    request.url = fmt::format("{}/v1/streams/{}?from={}", base_url_,
                              request_.stream_id, next_event_);
    // On a connection that others have used, a late copy of their answer could
    // be taken for the rest of this stream.
    request.uses_new_connection = true;
    return request;
}

void endpoint_exchange::start_transfer(http_request request)
{
    has_head_ = false;
    parser_.reset();
    transfer_ = transport_.start(std::move(request), make_handlers());
    if (paused_)
        transport_.pause(transfer_);
}

void endpoint_exchange::on_head(http_head const& head)
{
    if (ended_)
        return;
    head_ = head;
    has_head_ = true;
    observer_.on_notices(id_, read_notices(head));
    // A refused resume request is handled when its transfer ends.
    bool const resumed = response_started_ || resume_attempts_ > 0;
    if (resumed && head.status != status_ok)
        return;
    response_started_ = true;
    result_.http_status = head.status;
    result_.content_type = head.header("content-type");
    if (!is_engine())
        return;
    auto const version = head.header("x-model-version");
    bool const must_confirm = head.status == status_ok || !version.empty();
    if (must_confirm && version != request_.model_version)
    {
        abort_at_endpoint();
        return fail(unknown_outcome(
            kernel::error_kind::outcome_unknown,
            fmt::format("the engine answered with weights version '{}' instead "
                        "of '{}'; check which versions it serves",
                        version, request_.model_version)));
    }
    auto const incarnation = head.header("x-engine-incarnation");
    if (!incarnation_)
        incarnation_ = incarnation;
    if (incarnation != *incarnation_)
    {
        abort_at_endpoint();
        result_.endpoint_ended = true;
        fail(unknown_outcome(
            kernel::error_kind::stream_interrupted,
            "the engine restarted during the stream; send the request again"));
    }
}

void endpoint_exchange::on_data(std::string bytes)
{
    if (ended_)
        return;
    if (is_event_stream())
    {
        bool const keep_parsing =
            parser_.feed(bytes, [self = shared_from_this()](sse_event const& it)
                         { return self->on_event(it); });
        if (keep_parsing || ended_)
            return;
        transport_.cancel(transfer_);
        // After the end-of-stream event there is no need to wait until the
        // connection is closed.
        if (stream_done_)
            return complete();
        return on_transfer_end({false, true, "events are missing"});
    }
    bool const resume_refused =
        is_engine() && request_.streaming && resume_attempts_ > 0;
    if (resume_refused)
        return;
    if (is_engine() && body_.size() + bytes.size() <= max_usage_body_bytes)
        body_ += bytes;
    observer_.on_chunk(id_, std::move(bytes));
}

bool endpoint_exchange::on_event(sse_event const& event)
{
    if (ended_ || stream_done_)
        return false;
    // Only the end-of-stream event may have no id.
    if (event.data == "[DONE]")
    {
        stream_done_ = !event.id || *event.id == next_event_;
        return false;
    }
    if (!event.id || *event.id > next_event_)
        return false;
    if (*event.id < next_event_)
        return true;
    ++next_event_;
    resume_attempts_ = 0;
    read_usage(event.data);
    observer_.on_chunk(id_, "data: " + event.data + "\n\n");
    return !ended_;
}

void endpoint_exchange::on_transfer_end(http_end const& end)
{
    if (ended_)
        return;
    // If no byte was sent, the call has not run. This can only be concluded for
    // the initial request: a resume request follows a request that was sent.
    if (!end.started && !response_started_ && resume_attempts_ == 0)
        return fail({kernel::error_kind::connection_lost,
                     fmt::format("the endpoint cannot be reached: {}; check "
                                 "that it runs",
                                 end.reason),
                     kernel::run_state::not_run,
                     {}});
    if (is_engine() && request_.streaming)
        return finish_stream(end);
    finish_non_streaming(end);
}

void endpoint_exchange::finish_stream(http_end const& end)
{
    bool const first = resume_attempts_ == 0 && next_event_ == 0;
    bool const refused = has_head_ && head_.status != status_ok;
    if (refused && first)
        return finish_non_streaming(end);
    result_.endpoint_ended = true;
    if (refused && head_.status == 404)
        return fail(unknown_outcome(kernel::error_kind::stream_interrupted,
                                    "the engine lost the stream; send the "
                                    "request again"));
    if (!can_resume_stream())
        return fail(unknown_outcome(
            kernel::error_kind::stream_interrupted,
            fmt::format("the stream of the engine broke ({}) and could not be "
                        "resumed; send the request again",
                        end.reason)));
    result_.endpoint_ended = false;
    resume_stream();
}

void endpoint_exchange::finish_non_streaming(http_end const& end)
{
    if (end.complete)
    {
        if (is_engine())
            read_usage(body_);
        return complete();
    }
    result_.endpoint_ended = true;
    fail(unknown_outcome(
        kernel::error_kind::outcome_unknown,
        fmt::format("the endpoint's answer was not complete: {}; check whether "
                    "the call ran before sending it again",
                    end.reason)));
}

bool endpoint_exchange::can_resume_stream() const
{
    return resume_attempts_ < max_resume_attempts;
}

void endpoint_exchange::resume_stream()
{
    auto const delay =
        resume_attempts_ == 0
            ? std::chrono::milliseconds(0)
            : initial_retry_delay * (1U << (resume_attempts_ - 1));
    ++resume_attempts_;
    timer_.expires_after(delay);
    timer_.async_wait(
        [self = shared_from_this()](std::error_code ec)
        {
            if (!ec && !self->ended_)
                self->start_transfer(self->resume_request());
        });
}

void endpoint_exchange::abort_at_endpoint()
{
    timer_.cancel();
    transport_.cancel(transfer_);
    if (!is_engine())
        return;
    http_request request;
    request.method = "DELETE";
    request.url = base_url_ + "/v1/streams/" + request_.stream_id;
    request.timeout = std::chrono::seconds(5);
    transport_.start(std::move(request),
                     {[](http_head const&) {}, [](std::string const&) {},
                      [](http_end const&) {}});
}

void endpoint_exchange::read_usage(std::string const& json)
{
    if (json.find("\"usage\"") == std::string::npos)
        return;
    auto const body = nlohmann::json::parse(json, nullptr, false);
    if (!body.is_object() || !body.contains("usage") ||
        !body["usage"].is_object())
        return;
    auto const& usage = body["usage"];
    auto const number = [](nlohmann::json const& from, char const* key)
    {
        auto const it = from.find(key);
        return it != from.end() && it->is_number_unsigned()
                   ? it->get<std::uint64_t>()
                   : std::uint64_t{0};
    };
    result_.prompt_bytes = number(usage, "prompt_tokens") * bytes_per_token;
    auto const details = usage.find("prompt_tokens_details");
    if (details != usage.end() && details->is_object())
        result_.cached_bytes =
            number(*details, "cached_tokens") * bytes_per_token;
}

void endpoint_exchange::complete()
{
    end(result_);
}

void endpoint_exchange::fail(kernel::error reason)
{
    auto result = result_;
    result.failure = std::move(reason);
    end(result);
}

void endpoint_exchange::end(endpoint_result const& result)
{
    if (std::exchange(ended_, true))
        return;
    observer_.on_end(id_, result);
}

} // namespace endiveward::agent
