#include "gateway/caller_connection.hpp"

#include "gateway/http/reason_phrase.hpp"
#include "gateway/i_connection_owner.hpp"
#include "gateway/i_exchange.hpp"
#include "gateway/i_request_handler.hpp"
#include "gateway/response_rules.hpp"
#include "gateway/types/header_field_names.hpp"
#include "kernel/free_memory.hpp"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <iterator>
#include <utility>

namespace endiveward::gateway
{

namespace
{

/// Limit on buffered input of callers that pipeline requests.
constexpr std::size_t max_input_bytes = 16U << 10U;
/// The next request is not served while more than this waits for its caller to
/// read.
constexpr std::size_t max_unread_bytes = 64U << 10U;
/// Buffers for responses that are larger are released after use.
constexpr std::size_t kept_buffer_bytes = 4U << 10U;
/// Of the connection itself with its socket.
constexpr std::size_t connection_bytes = 2U << 10U;
/// Of a request in progress beside its text: its state, its head for the
/// endpoint and the connection to the endpoint.
constexpr std::size_t exchange_bytes = 12U << 10U;
/// A write or a read that is suspended for longer is the caller's doing.
constexpr std::chrono::milliseconds stalled_after{200};
/// How long the connection stays open for the caller to read the last response.
/// Closing it while the caller still sends would reset it, and the response
/// could be lost.
constexpr std::chrono::milliseconds linger_time{1000};
/// The same for a caller that still sends.
constexpr std::chrono::milliseconds max_linger_time{5000};
constexpr std::chrono::milliseconds retry_displaced{1000};
constexpr int status_request_timeout = 408;
constexpr int status_unavailable = 503;

message_limits reader_limits(caller_limits const& limits)
{
    return {limits.header_bytes, limits.body_bytes};
}

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket socket,
                                     kernel::i_clock const& clock,
                                     i_request_handler& handler,
                                     i_connection_owner& owner)
    : socket_(std::move(socket))
    , clock_(clock)
    , handler_(handler)
    , owner_(owner)
    , reader_(reader_limits(handler.limits()))
    , memory_(handler.memory())
{
}

caller_connection::~caller_connection() = default;

void caller_connection::start()
{
    std::error_code ec;
    // Errors are ignored: without the option the connection is only slower.
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    socket_.non_blocking(true, ec);
    if (ec)
        return close();
    waiting_since_ = written_at_ = clock_.now();
    count_memory();
    read();
}

void caller_connection::close_if_idle()
{
    if (!busy() && !reader_.started() && input().empty() && !writing_)
        close();
}

void caller_connection::close()
{
    if (closed_)
        return;
    closed_ = true;
    std::error_code ec;
    // An error means that the socket is already closed.
    socket_.close(ec);
    if (auto exchange = std::exchange(exchange_, nullptr))
        exchange->on_caller_gone();
    owner_.on_closed(*this);
}

void caller_connection::on_stop()
{
    // The request may end within the call.
    if (auto const exchange = exchange_)
        exchange->on_stop();
}

/// While a request is in progress, reading tells whether its caller is gone.
void caller_connection::read()
{
    if (reading_ || closed_ || !is_read())
        return;
    reading_ = true;
    socket_.async_wait(asio::socket_base::wait_read,
                       [self = shared_from_this()](std::error_code ec)
                       {
                           self->reading_ = false;
                           if (self->closed_)
                               return;
                           if (ec)
                               return self->close();
                           self->on_readable();
                       });
}

void caller_connection::on_readable()
{
    std::error_code ec;
    auto& scratch = owner_.scratch();
    auto const n = socket_.read_some(asio::buffer(scratch), ec);
    if (ec == asio::error::would_block)
        return read();
    if (ec)
        return close();
    on_bytes({scratch.data(), n});
    if (!closed_ && !count_memory())
        owner_.on_memory_full();
}

void caller_connection::on_bytes(std::string_view bytes)
{
    if (lingering_)
    {
        waiting_since_ = clock_.now();
        return read();
    }
    if (!reader_.started() && input().empty())
        waiting_since_ = clock_.now();
    if (!busy() && input().empty() && queued() <= max_unread_bytes)
        bytes.remove_prefix(feed(bytes));
    keep_input(bytes);
    process();
    read();
}

std::string_view caller_connection::input() const
{
    return std::string_view(input_).substr(input_begin_);
}

void caller_connection::keep_input(std::string_view bytes)
{
    if (bytes.empty())
        return;
    input_.erase(0, std::exchange(input_begin_, 0));
    input_ += bytes;
    if (!is_read())
        full_since_ = clock_.now();
}

/// A caller that sends far ahead is not read until its request has ended.
bool caller_connection::is_read() const
{
    return input().size() < max_input_bytes;
}

/// The configuration may have changed since the request before.
std::size_t caller_connection::feed(std::string_view bytes)
{
    if (!reader_.started())
        reader_.set_limits(reader_limits(handler_.limits()));
    return reader_.feed(bytes);
}

void caller_connection::process()
{
    if (busy() || closed_ || close_after_write_ || queued() > max_unread_bytes)
        return;
    if (reader_.state() == read_state::partial && !input().empty())
    {
        input_begin_ += feed(input());
        if (input().empty())
        {
            kernel::free_memory(input_);
            input_begin_ = 0;
        }
    }
    if (reader_.take_continue() && reader_.state() == read_state::partial)
    {
        out_ += "HTTP/1.1 100 Continue\r\n\r\n";
        flush();
    }
    if (reader_.state() == read_state::failed)
        return refuse(reader_.failure_status());
    if (reader_.state() == read_state::complete)
        serve();
}

void caller_connection::serve()
{
    if (handler_.memory().exhausted())
        return refuse_for_others();
    http_1_0_ = reader_.is_http_1_0();
    request_bytes_ = reader_.memory() + exchange_bytes;
    auto request = reader_.take();
    head_request_ = request.method == "HEAD";
    keep_alive_ = request.keep_alive;
    auto exchange = handler_.handle(std::move(request), *this);
    // The request may already have been answered within `handle`.
    if (exchange != nullptr && !closed_)
        exchange_ = std::move(exchange);
}

void caller_connection::refuse(int status)
{
    keep_alive_ = false;
    reader_.give_up();
    answer(status, {}, {});
}

/// Refuses a request that has not run, since others need what it takes.
void caller_connection::refuse_for_others()
{
    handler_.on_displaced(load(), "refused");
    keep_alive_ = false;
    reader_.give_up();
    answer(status_unavailable,
           local_answer_headers({}, retry_displaced, header_field_names()),
           "overloaded\n");
}

void caller_connection::give_way()
{
    if (load().activity == connection_activity::receiving)
        return refuse_for_others();
    handler_.on_displaced(load(), "closed");
    close();
}

connection_load caller_connection::load() const
{
    using activity = connection_activity;
    if (lingering_)
        return {activity::lingering, lingering_since_, memory_.bytes()};
    auto const now = clock_.now();
    if (queued() > 0 && now - written_at_ > stalled_after)
        return {activity::unread, written_at_, memory_.bytes()};
    if (!is_read() && now - full_since_ > stalled_after)
        return {activity::unread, full_since_, memory_.bytes()};
    if (busy() || queued() > 0)
        return {activity::serving, waiting_since_, memory_.bytes()};
    if (reader_.started() || !input().empty())
        return {activity::receiving, waiting_since_, memory_.bytes()};
    return {served_ ? activity::idle : activity::silent, waiting_since_,
            memory_.bytes()};
}

bool caller_connection::count_memory()
{
    return memory_.set(connection_bytes + reader_.memory() + input_.capacity() +
                       out_.capacity() + write_buffer_.capacity() +
                       request_bytes_ + (is_read() ? 0 : caller_receive_bytes));
}

void caller_connection::append_head(int status, header_list const& headers)
{
    if (handler_.draining())
        keep_alive_ = false;
    auto out = std::back_inserter(out_);
    fmt::format_to(out, "HTTP/1.1 {} {}\r\n", status, reason_phrase(status));
    for (auto const& it : headers)
        fmt::format_to(out, "{}: {}\r\n", it.name, it.value);
    if (!keep_alive_)
        out_ += "Connection: close\r\n";
    else if (http_1_0_)
        out_ += "Connection: keep-alive\r\n";
}

void caller_connection::answer(int status, header_list const& headers,
                               std::string body)
{
    append_head(status, headers);
    fmt::format_to(std::back_inserter(out_), "Content-Length: {}\r\n\r\n",
                   body.size());
    if (!head_request_)
        out_ += body;
    finish_answer();
}

void caller_connection::begin(int status, header_list const& headers,
                              std::optional<std::uint64_t> length)
{
    chunked_ = !length && !http_1_0_;
    close_delimited_ = !length && http_1_0_;
    if (close_delimited_)
        keep_alive_ = false;
    append_head(status, headers);
    if (length)
        fmt::format_to(std::back_inserter(out_), "Content-Length: {}\r\n",
                       *length);
    else if (chunked_)
        out_ += "Transfer-Encoding: chunked\r\n";
    out_ += "\r\n";
}

void caller_connection::write(std::string_view bytes)
{
    if (bytes.empty() || head_request_)
        return;
    if (chunked_)
        fmt::format_to(std::back_inserter(out_), "{:x}\r\n", bytes.size());
    out_ += bytes;
    if (chunked_)
        out_ += "\r\n";
    flush();
    count_memory();
}

void caller_connection::end()
{
    if (chunked_ && !head_request_)
        out_ += "0\r\n\r\n";
    chunked_ = false;
    finish_answer();
}

void caller_connection::finish_answer()
{
    exchange_.reset();
    request_bytes_ = 0;
    served_ = true;
    waiting_since_ = clock_.now();
    if (!keep_alive_)
        close_after_write_ = true;
    flush();
    count_memory();
    if (close_after_write_)
        return;
    // The next request may already be buffered. Serving it from here would
    // recurse once per pipelined request.
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   self->process();
                   if (!self->closed_)
                       self->read();
               });
}

void caller_connection::abort()
{
    exchange_.reset();
    // An orderly end would complete the response.
    std::error_code ec;
    if (close_delimited_)
        socket_.set_option(asio::socket_base::linger(true, 0), ec);
    close();
}

std::size_t caller_connection::queued() const
{
    return out_.size() + write_buffer_.size();
}

void caller_connection::flush()
{
    if (writing_ || closed_)
        return;
    if (out_.empty())
    {
        if (close_after_write_)
            close_after_answer();
        return;
    }
    writing_ = true;
    written_at_ = clock_.now();
    write_buffer_.swap(out_);
    asio::async_write(
        socket_, asio::buffer(write_buffer_),
        [self = shared_from_this()](std::error_code ec, std::size_t)
        { self->on_written(ec); });
}

void caller_connection::on_written(std::error_code ec)
{
    writing_ = false;
    if (write_buffer_.capacity() > kept_buffer_bytes)
        kernel::free_memory(write_buffer_);
    else
        write_buffer_.clear();
    if (closed_)
        return;
    if (ec)
        return close();
    flush();
    count_memory();
    if (writing_)
        return;
    if (auto const exchange = exchange_)
        return exchange->on_caller_ready();
    // Requests may have waited for the caller to read.
    process();
    read();
}

void caller_connection::close_after_answer()
{
    if (std::exchange(lingering_, true))
        return;
    waiting_since_ = lingering_since_ = clock_.now();
    kernel::free_memory(input_);
    input_begin_ = 0;
    count_memory();
    std::error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec)
        return close();
    read();
}

void caller_connection::on_tick(kernel::steady_time now)
{
    if (busy())
        return;
    auto const limits = handler_.limits();
    auto const waited = now - waiting_since_;
    if (close_after_write_ && !lingering_)
    {
        if (waited > limits.idle_timeout)
            close();
        return;
    }
    if (lingering_)
    {
        if (waited > linger_time || now - lingering_since_ > max_linger_time)
            close();
        return;
    }
    auto const in_headers = reader_.started() && !reader_.headers_complete();
    if (in_headers && waited > limits.header_timeout)
        return refuse(status_request_timeout);
    if (waited > limits.idle_timeout)
        return reader_.started() ? refuse(status_request_timeout) : close();
}

} // namespace endiveward::gateway
