#ifndef ENDIVEWARD_GATEWAY_I_REQUEST_HANDLER_HPP
#define ENDIVEWARD_GATEWAY_I_REQUEST_HANDLER_HPP

#include "gateway/http/http_request.hpp"
#include "gateway/types/caller_limits.hpp"

#include <memory>
#include <string_view>

namespace endiveward::gateway
{

class buffer_memory;
class i_exchange;
class i_response_writer;
struct connection_load;

/// Handles the requests that are read from callers' connections.
class i_request_handler
{
public:
    virtual ~i_request_handler() = default;

    /// `writer` stays valid until the exchange is destroyed or has ended the
    /// response.
    virtual std::shared_ptr<i_exchange> handle(http_request request,
                                               i_response_writer& writer) = 0;
    virtual caller_limits limits() const = 0;
    /// Whether each connection is to be closed after its next response.
    virtual bool draining() const = 0;
    /// What callers make the process hold.
    virtual buffer_memory& memory() = 0;
    /// A connection was closed, or its request refused, for the sake of others.
    virtual void on_displaced(connection_load const& load,
                              std::string_view reason) = 0;
};

} // namespace endiveward::gateway

#endif
