#ifndef ENDIVEWARD_GATEWAY_HTTP_RESPONSE_READER_HPP
#define ENDIVEWARD_GATEWAY_HTTP_RESPONSE_READER_HPP

#include "gateway/http/chunk_line_checker.hpp"
#include "gateway/http/header_collector.hpp"
#include "gateway/http/message_limits.hpp"
#include "gateway/http/response_head.hpp"
#include "kernel/response_head_checker.hpp"

#include <http_parser.h>

#include <cstddef>
#include <string_view>

namespace endiveward::gateway
{

class i_response_sink;

/// Reads one final response from a byte stream; 1xx responses are skipped. What
/// http_parser accepts although it is no valid response is a failure.
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

    void execute(std::string_view bytes, std::size_t& taken);
    bool has_known_length() const;
    /// Checks what stands between chunks, up to this place.
    bool check_lines(char const* end);

    http_parser parser_{};
    http_parser_settings settings_{};
    kernel::response_head_checker head_checker_;
    chunk_line_checker line_checker_;
    /// First byte that has been passed to the parser and is neither data of the
    /// body nor checked.
    char const* unchecked_ = nullptr;
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
