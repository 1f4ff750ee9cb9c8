#ifndef ENDIVEWARD_GATEWAY_HTTP_RESPONSE_READER_HPP
#define ENDIVEWARD_GATEWAY_HTTP_RESPONSE_READER_HPP

#include "gateway/http/header_collector.hpp"
#include "gateway/http/message_limits.hpp"
#include "gateway/http/response_head.hpp"

#include <http_parser.h>

#include <cstddef>
#include <string_view>

namespace endiveward::gateway
{

class i_response_sink;

/// Reads one final response from a byte stream; 1xx responses are skipped.
class response_reader
{
public:
    explicit response_reader(std::size_t max_header_bytes);
    response_reader(response_reader const&) = delete;
    response_reader& operator=(response_reader const&) = delete;

    /// Prepares for the next response. The response to a HEAD request has no
    /// body.
    void reset(bool head_request);
    /// Consumes bytes up to the end of the response and returns their number.
    std::size_t feed(std::string_view bytes, i_response_sink& sink);
    /// The peer closed the connection without a reset. Completes a body that is
    /// delimited by the end of the connection.
    void finish(i_response_sink& sink);

    bool started() const { return started_; }
    bool complete() const { return complete_; }
    bool failed() const { return failed_; }

private:
    static int on_field(http_parser* parser, char const* at, std::size_t n);
    static int on_value(http_parser* parser, char const* at, std::size_t n);
    static int on_headers(http_parser* parser);
    static int on_body(http_parser* parser, char const* at, std::size_t n);
    static int on_complete(http_parser* parser);
    static response_reader& self(http_parser* parser);

    void execute(char const* at, std::size_t n, std::size_t& taken);

    http_parser parser_{};
    http_parser_settings settings_{};
    response_head head_;
    header_collector fields_;
    i_response_sink* sink_ = nullptr;
    bool head_request_ = false;
    bool informational_ = false;
    bool started_ = false;
    bool complete_ = false;
    bool failed_ = false;
};

} // namespace endiveward::gateway

#endif
