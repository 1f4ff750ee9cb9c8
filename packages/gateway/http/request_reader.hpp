#ifndef ENDIVEWARD_GATEWAY_HTTP_REQUEST_READER_HPP
#define ENDIVEWARD_GATEWAY_HTTP_REQUEST_READER_HPP

#include "gateway/http/header_collector.hpp"
#include "gateway/http/http_request.hpp"
#include "gateway/http/message_limits.hpp"

#include <http_parser.h>

#include <cstddef>
#include <string_view>

namespace endiveward::gateway
{

enum class read_state
{
    /// More bytes are needed.
    partial,
    complete,
    /// The input is not a valid request; `failure_status` is the status to
    /// answer with.
    failed
};

/// Reads one request at a time from a byte stream.
class request_reader
{
public:
    explicit request_reader(message_limits limits);
    request_reader(request_reader const&) = delete;
    request_reader& operator=(request_reader const&) = delete;

    /// Limits of the next request. Must not be called after the first byte of a
    /// request.
    void set_limits(message_limits limits);

    /// Consumes bytes up to the end of the request and returns their number.
    std::size_t feed(std::string_view bytes);

    read_state state() const { return state_; }
    int failure_status() const { return failure_status_; }
    /// Whether any byte of the next request has arrived.
    bool started() const { return started_; }
    bool headers_complete() const { return fields_.finished(); }
    bool is_http_1_0() const
    {
        return parser_.http_major == 1 && parser_.http_minor == 0;
    }
    /// Whether the caller waits for `100 Continue`. Returns true only once per
    /// request.
    bool take_continue();

    /// Returns the complete request and resets the reader for the next one.
    http_request take();
    /// Gives up the request that has begun and releases its memory. Nothing can
    /// be read after it.
    void give_up();
    /// Bytes that are allocated for the request that has begun.
    std::size_t memory() const;

private:
    static int on_url(http_parser* parser, char const* at, std::size_t n);
    static int on_field(http_parser* parser, char const* at, std::size_t n);
    static int on_value(http_parser* parser, char const* at, std::size_t n);
    static int on_headers(http_parser* parser);
    static int on_body(http_parser* parser, char const* at, std::size_t n);
    static int on_complete(http_parser* parser);
    static request_reader& self(http_parser* parser);

    void reset();
    int fail(int status);
    void grow_body(std::size_t n);

    message_limits limits_;
    http_parser parser_{};
    http_parser_settings settings_{};
    http_request request_;
    header_collector fields_;
    read_state state_ = read_state::partial;
    int failure_status_ = 0;
    bool started_ = false;
    bool wants_continue_ = false;
    /// From the head, or the limit if the body comes in chunks.
    std::size_t expected_body_bytes_ = 0;
};

} // namespace endiveward::gateway

#endif
