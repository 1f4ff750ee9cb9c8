#ifndef ENDIVEWARD_STAND_INS_HTTP_SERVER_HPP
#define ENDIVEWARD_STAND_INS_HTTP_SERVER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace endiveward::stand_ins
{

using header_map = std::map<std::string, std::string>;

/// A request with a decoded path and query. Header names are lower-case.
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    header_map headers;
    std::string body;

    /// The header's value, or an empty string.
    std::string header(std::string const& name) const;
    /// The parameter's value, or `otherwise`.
    std::string parameter(std::string const& name,
                          std::string const& otherwise = "") const;
};

/// The answer to one request; used by one thread.
class i_http_reply
{
public:
    virtual ~i_http_reply() = default;

    /// Sends a whole answer.
    virtual void send(int status, std::string body, header_map headers) = 0;
    /// Starts a chunked answer.
    virtual void begin(int status, header_map headers) = 0;
    /// Writes a chunk and waits until it is written; false if the connection
    /// is broken.
    virtual bool write(std::string chunk) = 0;
    virtual void finish() = 0;
    /// Closes the connection without completing the answer.
    virtual void break_connection() = 0;
};

/// HTTP server that runs each request on a thread of its own, so that
/// handlers may block.
class http_server
{
public:
    using handler = std::function<void(http_request const&, i_http_reply&)>;

    /// Port 0 takes a free port.
    http_server(std::string const& address, std::uint16_t port,
                handler on_request);
    /// Waits until all handlers have returned.
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    std::uint16_t port() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace endiveward::stand_ins

#endif
