#ifndef ENDIVEWARD_GATEWAY_ENDPOINT_NOTICES_HPP
#define ENDIVEWARD_GATEWAY_ENDPOINT_NOTICES_HPP

#include "weights/types/weight_version.hpp"

#include <memory>

namespace endiveward::gateway
{

class endpoint_record;
struct exchange_services;
struct response_head;
struct sent_request;

/// Applies what the head of a response says about the endpoint that sent it:
/// its load, its weights, that it leaves, asks for a pause or names a limit.
class endpoint_notices
{
public:
    explicit endpoint_notices(exchange_services const& services)
        : services_(services)
    {
    }

    /// `request` is the one that the response answers.
    void apply(response_head const& head, sent_request const& request) const;
    /// Applies a refusal, by which the endpoint states that it did not run the
    /// request. `requested` is the version of the weights that the request
    /// named.
    void apply_refusal(response_head const& head, sent_request const& request,
                       weights::weight_version requested) const;

private:
    void apply_load(response_head const& head,
                    sent_request const& request) const;
    void apply_work_figure(response_head const& head,
                           endpoint_record& answering) const;
    void apply_weights(response_head const& head,
                       sent_request const& request) const;
    void apply_leaving(response_head const& head,
                       endpoint_record& answering) const;
    void apply_pause(response_head const& head,
                     endpoint_record& answering) const;
    void apply_limit(response_head const& head, endpoint_record& answering,
                     sent_request const& request) const;
    std::shared_ptr<endpoint_record>
    answering_endpoint(response_head const& head,
                       sent_request const& request) const;

    exchange_services const& services_;
};

} // namespace endiveward::gateway

#endif
