#ifndef ENDIVEWARD_GATEWAY_HTTP_RESPONSE_HEAD_HPP
#define ENDIVEWARD_GATEWAY_HTTP_RESPONSE_HEAD_HPP

#include "gateway/http/header_list.hpp"

namespace endiveward::gateway
{

/// Status line and header fields of a response.
struct response_head
{
    int status = 0;
    header_list headers;
    bool keep_alive = true;
    /// The body has neither a length nor chunked encoding, so that the end of
    /// the connection ends it.
    bool ends_with_connection = false;
};

} // namespace endiveward::gateway

#endif
