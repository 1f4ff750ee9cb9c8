#include "gateway/endpoint_notices.hpp"

#include "availability/leaving_notice_reader.hpp"
#include "availability/retry_after_reader.hpp"
#include "gateway/endpoint_directory.hpp"
#include "gateway/endpoint_record.hpp"
#include "gateway/exchange_services.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/http/response_head.hpp"
#include "gateway/limit_watch.hpp"
#include "gateway/request_fields.hpp"
#include "gateway/speed_watch.hpp"
#include "gateway/types/sent_request.hpp"
#include "gateway/weights_view.hpp"
#include "kernel/parse_number.hpp"
#include "kernel/types/result.hpp"
#include "observe/decision_log.hpp"

#include <variant>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
/// How long an endpoint is avoided after a refusal, and how long it is not
/// asked again for a newer model version that it did not have.
constexpr milliseconds refusal_pause{150};
constexpr milliseconds outdated_weights_pause{600};
constexpr char const* retry_after_field = "Retry-After";

} // namespace

void endpoint_notices::apply(response_head const& head,
                             sent_request const& request) const
{
    apply_load(head, request);
    apply_weights(head, request);
    auto const answering = answering_endpoint(head, request);
    if (answering == nullptr)
        return;
    apply_work_figure(head, *answering);
    apply_leaving(head, *answering);
    apply_pause(head, *answering);
    apply_limit(head, *answering, request);
}

void endpoint_notices::apply_refusal(response_head const& head,
                                     sent_request const& request,
                                     weights::weight_version requested) const
{
    auto const now = services_.clock.now();
    auto& endpoint = *request.endpoint;
    if (head.status != status_misdirected)
    {
        if (!endpoint.paused(now))
            endpoint.on_refusal(now, refusal_pause);
        return;
    }
    auto const instance = head.headers.find(services_.names.endpoint);
    if (instance && *instance != endpoint.entry().id.str())
        return endpoint.mark_replaced();
    auto const version =
        request.model ? endpoint.version_of(*request.model) : 0;
    if (version < requested)
        endpoint.on_outdated_weights(now, outdated_weights_pause);
    else if (version == requested && request.model)
        endpoint.set_version(*request.model,
                             services_.weights.target_of(*request.model));
}

void endpoint_notices::apply_load(response_head const& head,
                                  sent_request const& request) const
{
    auto const text = head.headers.find(services_.names.load);
    if (!text)
        return;
    if (auto sample = parse_load(*text))
    {
        sample->at = services_.clock.now();
        sample->own_requests = request.endpoint->in_flight();
        request.endpoint->on_load(*sample);
    }
}

void endpoint_notices::apply_work_figure(response_head const& head,
                                         endpoint_record& answering) const
{
    auto const& field = services_.names.load;
    auto const text = head.headers.find(field);
    if (!text)
        return;
    if (auto const sample = parse_load(*text))
        services_.speeds.on_figure(answering, sample->figure, field, *text);
}

void endpoint_notices::apply_weights(response_head const& head,
                                     sent_request const& request) const
{
    if (!request.model)
        return;
    auto const text = head.headers.find(services_.names.weight_version);
    if (!text)
        return;
    if (auto const n = kernel::parse_number<weights::weight_version>(*text))
        request.endpoint->set_version(*request.model, *n);
}

void endpoint_notices::apply_leaving(response_head const& head,
                                     endpoint_record& answering) const
{
    auto const text = head.headers.find(services_.names.leaving);
    auto const notice = availability::read_leaving_notice(text);
    if (notice == availability::leaving_notice::none)
        return;
    auto const& endpoint = answering.entry().id.str();
    if (notice == availability::leaving_notice::unreadable)
        return services_.log.write("endpoint_field_ignored",
                                   "endpoint={} field={} value=\"{}\"",
                                   endpoint, services_.names.leaving, *text);
    // An agent may have reported it before, which a later report can end.
    auto const known = answering.leaving();
    answering.on_leaving();
    if (known)
        return;
    services_.metrics.on_leaving("answer");
    services_.log.write("endpoint_leaving",
                        "endpoint={} source=answer status={} until=restart",
                        endpoint, head.status);
}

void endpoint_notices::apply_pause(response_head const& head,
                                   endpoint_record& answering) const
{
    if (head.status != status_unavailable)
        return;
    auto const text = head.headers.find(retry_after_field);
    if (!text)
        return;
    auto const value =
        availability::read_retry_after(text, head.headers.find("Date"));
    auto const& endpoint = answering.entry().id.str();
    std::visit(
        kernel::overloaded{
            [](availability::no_pause) {},
            [&](availability::unreadable_pause)
            {
                services_.log.write("endpoint_field_ignored",
                                    "endpoint={} field={} value=\"{}\"",
                                    endpoint, retry_after_field, *text);
            },
            [&](availability::requested_pause const& pause)
            {
                auto const now = services_.clock.now();
                if (!answering.on_pause(now, pause.time) && !pause.limited)
                    return;
                services_.metrics.on_pause();
                auto const until = answering.unusable_until(now).value_or(now);
                services_.log.write(
                    "endpoint_paused",
                    "endpoint={} source=answer requested_ms={} limited={} "
                    "until_ms={}",
                    endpoint, pause.time.count(), pause.limited,
                    std::chrono::duration_cast<milliseconds>(until - now)
                        .count());
            }},
        value);
}

void endpoint_notices::apply_limit(response_head const& head,
                                   endpoint_record& answering,
                                   sent_request const& request) const
{
    auto const& field = services_.names.request_limit;
    services_.limits.on_response(answering, request.at, field,
                                 head.headers.find(field));
}

/// Returns the endpoint that has sent the answer, or null if it is unknown or
/// has restarted since. At the address of an endpoint that has exited another
/// one may answer.
std::shared_ptr<endpoint_record>
endpoint_notices::answering_endpoint(response_head const& head,
                                     sent_request const& request) const
{
    auto const id = head.headers.find(services_.names.endpoint);
    if (id && *id != request.endpoint->entry().id.str())
        return services_.endpoints.find(kernel::endpoint_id(std::string(*id)));
    return request.endpoint->generation() == request.generation
               ? request.endpoint
               : nullptr;
}

} // namespace endiveward::gateway
