#include "gateway/http/request_reader.hpp"

#include "kernel/free_memory.hpp"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <limits>
#include <utility>

namespace endiveward::gateway
{

namespace
{

constexpr int status_bad_request = 400;
constexpr int status_body_too_large = 413;
constexpr int status_headers_too_large = 431;
/// Memory that a body takes at first.
constexpr std::size_t initial_body_bytes = 8U << 10U;

/// http_parser has a limit of its own for the heads of the process, which also
/// counts spaces that belong to no field.
void allow_heads_of(std::size_t bytes)
{
    static std::atomic<std::size_t> allowed{HTTP_MAX_HEADER_SIZE};
    auto const wanted = std::min<std::size_t>(
        2 * bytes, std::numeric_limits<std::uint32_t>::max());
    if (wanted <= allowed)
        return;
    allowed = wanted;
    http_parser_set_max_header_size(static_cast<std::uint32_t>(wanted));
}

} // namespace

request_reader::request_reader(message_limits limits)
    : limits_(limits)
    , fields_(limits.header_bytes)
{
    allow_heads_of(limits.header_bytes);
    http_parser_settings_init(&settings_);
    settings_.on_url = on_url;
    settings_.on_header_field = on_field;
    settings_.on_header_value = on_value;
    settings_.on_headers_complete = on_headers;
    settings_.on_body = on_body;
    settings_.on_message_complete = on_complete;
    reset();
}

void request_reader::reset()
{
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    kernel::free_memory(request_);
    fields_.reset();
    state_ = read_state::partial;
    failure_status_ = 0;
    started_ = false;
    wants_continue_ = false;
    expected_body_bytes_ = 0;
}

void request_reader::set_limits(message_limits limits)
{
    limits_ = limits;
    allow_heads_of(limits.header_bytes);
    fields_.set_max_bytes(limits.header_bytes);
}

std::size_t request_reader::feed(std::string_view bytes)
{
    if (state_ != read_state::partial || bytes.empty())
        return 0;
    started_ = true;
    auto const n =
        http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
    if (state_ == read_state::complete)
        return n;
    auto const ec = HTTP_PARSER_ERRNO(&parser_);
    if (ec != HPE_OK && state_ != read_state::failed)
        fail(ec == HPE_HEADER_OVERFLOW ? status_headers_too_large
                                       : status_bad_request);
    return n;
}

bool request_reader::take_continue()
{
    return std::exchange(wants_continue_, false);
}

http_request request_reader::take()
{
    auto res = std::move(request_);
    reset();
    return res;
}

void request_reader::give_up()
{
    kernel::free_memory(request_);
    fields_.reset();
    if (state_ == read_state::partial)
        fail(status_bad_request);
}

std::size_t request_reader::memory() const
{
    return request_.target.capacity() + request_.headers.memory() +
           request_.body.capacity() + fields_.memory();
}

request_reader& request_reader::self(http_parser* parser)
{
    return *static_cast<request_reader*>(parser->data);
}

int request_reader::fail(int status)
{
    state_ = read_state::failed;
    failure_status_ = status;
    return -1;
}

int request_reader::on_url(http_parser* parser, char const* at, std::size_t n)
{
    auto& reader = self(parser);
    if (!reader.fields_.count(n))
        return reader.fail(status_headers_too_large);
    reader.request_.target.append(at, n);
    return 0;
}

int request_reader::on_field(http_parser* parser, char const* at, std::size_t n)
{
    auto& reader = self(parser);
    return reader.fields_.add_name({at, n})
               ? 0
               : reader.fail(status_headers_too_large);
}

int request_reader::on_value(http_parser* parser, char const* at, std::size_t n)
{
    auto& reader = self(parser);
    return reader.fields_.add_value({at, n})
               ? 0
               : reader.fail(status_headers_too_large);
}

int request_reader::on_headers(http_parser* parser)
{
    auto& reader = self(parser);
    auto& request = reader.request_;
    request.headers = reader.fields_.finish();
    request.method = http_method_str(static_cast<http_method>(parser->method));
    request.keep_alive = http_should_keep_alive(parser) != 0;
    if (parser->method == HTTP_CONNECT)
        return reader.fail(status_bad_request);
    // Rejected against request smuggling: a proxy in front of the gateway may
    // use the other one of two such fields.
    if (request.headers.count("Host") > 1 ||
        request.headers.count("Transfer-Encoding") > 1)
        return reader.fail(status_bad_request);
    // Upgrades are not supported; the request is served like any other.
    parser->upgrade = 0;
    auto const has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    if (has_length && parser->content_length > reader.limits_.body_bytes)
        return reader.fail(status_body_too_large);
    reader.expected_body_bytes_ =
        has_length ? static_cast<std::size_t>(parser->content_length)
                   : reader.limits_.body_bytes;
    reader.wants_continue_ = request.headers.lists("Expect", "100-continue");
    return 0;
}

int request_reader::on_body(http_parser* parser, char const* at, std::size_t n)
{
    auto& reader = self(parser);
    if (reader.request_.body.size() + n > reader.limits_.body_bytes)
        return reader.fail(status_body_too_large);
    reader.grow_body(n);
    reader.request_.body.append(at, n);
    return 0;
}

/// A body takes at most twice the memory of what has arrived, and no more than
/// its whole length.
void request_reader::grow_body(std::size_t n)
{
    auto& body = request_.body;
    auto const needed = body.size() + n;
    if (needed <= body.capacity())
        return;
    // Strings at least double. Begun with a fraction of the length that is a
    // power of two, the body ends with its length.
    auto wanted = std::max(expected_body_bytes_, needed);
    while (wanted / 2 >= std::max(needed, initial_body_bytes))
        wanted = wanted / 2 + wanted % 2;
    body.reserve(wanted);
}

int request_reader::on_complete(http_parser* parser)
{
    auto& reader = self(parser);
    reader.state_ = read_state::complete;
    // Bytes after the request belong to the next one.
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace endiveward::gateway
