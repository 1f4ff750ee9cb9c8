#ifndef ENDIVEWARD_GATEWAY_HTTP_I_UPSTREAM_OBSERVER_HPP
#define ENDIVEWARD_GATEWAY_HTTP_I_UPSTREAM_OBSERVER_HPP

#include "gateway/types/upstream_failure.hpp"

#include <string_view>

namespace endiveward::gateway
{

struct response_head;

/// Receives the response to one request, on the connection's thread. The last
/// call is exactly one of `on_end` and `on_failure`.
class i_upstream_observer
{
public:
    virtual ~i_upstream_observer() = default;

    /// Whether the request is to be sent, asked once its new connection is
    /// established.
    virtual bool may_send() const { return true; }
    virtual void on_head(response_head const& head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_end() = 0;
    virtual void on_failure(upstream_failure failure) = 0;
};

} // namespace endiveward::gateway

#endif
