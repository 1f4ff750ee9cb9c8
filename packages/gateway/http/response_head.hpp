#ifndef ENDIVEWARD_GATEWAY_HTTP_RESPONSE_HEAD_HPP
#define ENDIVEWARD_GATEWAY_HTTP_RESPONSE_HEAD_HPP

#include "gateway/http/header_list.hpp"

namespace endiveward::gateway
{

/// Status line and header fields of an answer.
struct response_head
{
    int status = 0;
    header_list headers;
    bool keep_alive = true;
    /// The body has neither length nor chunks: it ends with the connection.
    bool ends_with_connection = false;
};

} // namespace endiveward::gateway

#endif
