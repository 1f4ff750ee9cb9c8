#ifndef ENDIVEWARD_STORAGE_HTTP_CLIENT_HPP
#define ENDIVEWARD_STORAGE_HTTP_CLIENT_HPP

#include "kernel/types/result.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::storage
{

struct http_request
{
    std::string method = "GET";
    std::string url;
    /// `Name: value`
    std::vector<std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout{1000};
    /// Sends the request on a connection of its own. On a reused connection
    /// libcurl repeats a request, whatever its method, if the connection breaks
    /// before the answer begins.
    bool send_once = false;
};

struct http_response
{
    int status = 0;
    std::string body;
    std::optional<std::chrono::seconds> retry_after;
    /// Header `Table-Era` (docs/design.md, section 8.2).
    std::optional<std::uint64_t> table_era;
};

/// HTTP requests on one thread that all users share. Redirects and proxies are
/// not used.
class http_client
{
public:
    using handler = std::function<void(kernel::result<http_response>)>;

    /// Larger response bodies are an error.
    static constexpr std::size_t max_response_bytes = 64U << 20U;

    http_client();
    /// Pending requests end with an error. May run on the client's thread, from
    /// within a handler.
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Calls the handler exactly once, on the client's thread; it must not
    /// block. Any HTTP status is a response. Errors have kind
    /// `connection_lost`; their run state is `not_run` if no byte of the
    /// request was sent, otherwise `unknown`.
    void send(http_request request, handler on_done);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

/// Percent-encodes a query value.
std::string url_encoded(std::string const& text);

} // namespace endiveward::storage

#endif
