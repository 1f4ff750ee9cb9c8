#ifndef ENDIVEWARD_GATEWAY_HTTP_CALL_CLIENT_HPP
#define ENDIVEWARD_GATEWAY_HTTP_CALL_CLIENT_HPP

#include "gateway/http/upstream_connection.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/socket_address.hpp"

#include <asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace endiveward::gateway
{

class upstream_pool;

struct call_response
{
    int status = 0;
    header_list headers;
    std::string body;
};

struct call_failure
{
    /// No byte of the request was sent.
    bool not_sent = false;
    std::string message;
};

/// An HTTP client for one peer that buffers whole responses. Must be used from
/// one thread.
class call_client
{
public:
    using result = std::variant<call_response, call_failure>;
    using handler = std::function<void(result)>;

    call_client(asio::io_context& context, kernel::i_clock const& clock,
                kernel::socket_address const& peer);
    ~call_client();
    call_client(call_client const&) = delete;
    call_client& operator=(call_client const&) = delete;

    /// `target` is path and query; `headers` holds complete lines with their
    /// line ends. The handler is called exactly once, and never from within
    /// this method.
    void send(std::string const& method, std::string const& target,
              std::string const& headers, std::string const& body,
              std::chrono::milliseconds timeout, handler on_done);

private:
    class call;

    asio::io_context& context_;
    asio::ip::tcp::endpoint peer_;
    std::shared_ptr<upstream_pool> pool_;
};

} // namespace endiveward::gateway

#endif
