#ifndef ENDIVEWARD_GATEWAY_HTTP_HTTP_REQUEST_HPP
#define ENDIVEWARD_GATEWAY_HTTP_HTTP_REQUEST_HPP

#include "gateway/http/header_list.hpp"

#include <string>

namespace endiveward::gateway
{

/// A request as the caller sent it, with its complete body.
struct http_request
{
    std::string method;
    /// Path and query, unchanged.
    std::string target;
    header_list headers;
    std::string body;
    bool keep_alive = true;
};

} // namespace endiveward::gateway

#endif
