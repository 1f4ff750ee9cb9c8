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
    /// Limit for the whole transfer; 0 means none.
    std::chrono::milliseconds timeout{0};
    /// The request must not be sent twice.
    bool at_most_once = false;
};

struct http_head
{
    int status = 0;
    /// By lower-case name.
    std::map<std::string, std::string> headers;

    std::string header(std::string const& name) const
    {
        auto const it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
};

struct http_end
{
    /// The connection delivered the whole answer. An answer without a length
    /// that ends with its connection is not known to be whole.
    bool complete = false;
    /// A byte of the request may have been sent.
    bool started = false;
    std::string reason;
};

/// Handlers of one transfer.
struct http_handlers
{
    std::function<void(http_head const&)> on_head;
    std::function<void(std::string)> on_data;
    std::function<void(http_end const&)> on_end;
};

} // namespace endiveward::agent

#endif
