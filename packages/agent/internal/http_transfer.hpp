#ifndef ENDIVEWARD_AGENT_HTTP_TRANSFER_HPP
#define ENDIVEWARD_AGENT_HTTP_TRANSFER_HPP

#include "wire/types/header.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace endiveward::agent
{

struct http_request
{
    std::string method = "GET";
    std::string url;
    std::vector<wire::header> headers;
    std::string body;
    /// Timeout for the whole transfer; 0 means no timeout.
    std::chrono::milliseconds timeout{0};
    /// The request must not be sent more than once.
    bool at_most_once = false;
    bool uses_new_connection = false;
};

struct http_head
{
    int status = 0;
    /// Keyed by lower-case name.
    std::map<std::string, std::string> headers;

    std::string header(std::string const& name) const
    {
        auto const it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
};

struct http_end
{
    /// The whole response was received. Not set if the response has no length
    /// and is terminated by closing the connection, because it may be
    /// truncated.
    bool complete = false;
    /// Some of the request may have been sent.
    bool started = false;
    std::string reason;
};

struct http_handlers
{
    std::function<void(http_head const&)> on_head;
    std::function<void(std::string)> on_data;
    std::function<void(http_end const&)> on_end;
};

} // namespace endiveward::agent

#endif
