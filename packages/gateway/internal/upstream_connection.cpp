#include "gateway/http/upstream_connection.hpp"

#include "gateway/http/i_upstream_observer.hpp"
#include "kernel/free_memory.hpp"
#include "kernel/tcp_liveness.hpp"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace endiveward::gateway
{

namespace
{

constexpr std::size_t buffer_bytes = 8192;
/// Connections are not reused in the last part of the peer's idle timeout,
/// since a request that arrives while the peer closes the connection is lost.
constexpr std::chrono::milliseconds idle_margin{700};
constexpr std::chrono::milliseconds min_idle_limit{300};
/// A copy of an answer arrives where the answer to one of the next requests is
/// expected.
constexpr std::size_t max_carried = 32;

/// The `timeout` parameter of a `Keep-Alive` field.
std::optional<std::chrono::seconds> keep_alive_timeout(header_list const& list)
{
    auto const text = list.find("Keep-Alive");
    if (!text)
        return std::nullopt;
    constexpr std::string_view name = "timeout=";
    auto const at = text->find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    unsigned n = 0;
    auto const* const first = text->data() + at + name.size();
    auto const [end, ec] =
        std::from_chars(first, text->data() + text->size(), n);
    if (ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(n);
}

} // namespace

std::string_view to_text(upstream_failure failure)
{
    switch (failure)
    {
    case upstream_failure::not_connected:
        return "not_connected";
    case upstream_failure::withdrawn:
        return "withdrawn";
    case upstream_failure::no_answer:
        return "no_answer";
    case upstream_failure::not_http:
        return "not_http";
    case upstream_failure::truncated:
        return "cut_short";
    case upstream_failure::wrong_response:
        return "not_ours";
    }
    return "unknown";
}

upstream_connection::upstream_connection(
    asio::io_context& context, kernel::i_clock const& clock,
    std::shared_ptr<upstream_options const> options)
    : socket_(context)
    , timer_(context)
    , clock_(clock)
    , options_(std::move(options))
    , reader_(options_->max_header_bytes)
{
}

upstream_connection::~upstream_connection() = default;

void upstream_connection::send(asio::ip::tcp::endpoint const& peer,
                               upstream_request request,
                               i_upstream_observer& observer)
{
    observer_ = &observer;
    request_ = std::move(request);
    reader_.reset(request_.is_head_request);
    skipping_ = false;
    sent_ = false;
    paused_ = false;
    if (!connected_)
        return connect(peer);
    write();
    read();
}

void upstream_connection::connect(asio::ip::tcp::endpoint const& peer)
{
    timer_.expires_after(options_->connect_timeout);
    timer_.async_wait(
        [self = shared_from_this()](std::error_code ec)
        {
            if (!ec && !self->connected_ && !self->closed_)
                self->fail(upstream_failure::not_connected);
        });
    socket_.async_connect(peer,
                          [self = shared_from_this()](std::error_code ec)
                          {
                              if (self->closed_)
                                  return;
                              if (ec)
                                  return self->fail(
                                      upstream_failure::not_connected);
                              self->on_connected();
                          });
}

void upstream_connection::on_connected()
{
    connected_ = true;
    timer_.cancel();
    if (observer_ != nullptr && !observer_->may_send())
        return fail(upstream_failure::withdrawn);
    set_socket_options();
    write();
    read();
}

void upstream_connection::set_socket_options()
{
    std::error_code ec;
    // Errors are ignored: without the option the connection is only slower.
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    kernel::watch_peer(socket_, options_->peer_timeout);
}

void upstream_connection::write()
{
    writing_ = true;
    sent_ = true;
    note_carried(request_.id);
    std::array<asio::const_buffer, 2> bytes{asio::buffer(request_.head)};
    if (request_.body != nullptr)
        bytes[1] = asio::buffer(*request_.body);
    asio::async_write(
        socket_, bytes,
        [self = shared_from_this()](std::error_code ec, std::size_t)
        {
            // The pending read ends the exchange, after it has delivered any
            // response that the peer still sent. The system reports the loss of
            // a connection once, here or there. A broken pipe is none: the peer
            // had ended its side in order before.
            self->writing_ = false;
            self->lost_ = ec && ec != asio::error::broken_pipe;
        });
}

void upstream_connection::read()
{
    if (reading_ || closed_ || paused_)
        return;
    if (buffer_.empty())
        buffer_.resize(buffer_bytes);
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code ec, std::size_t n)
        {
            self->reading_ = false;
            if (self->closed_)
                return;
            if (ec)
                return self->on_read_error(ec == asio::error::eof &&
                                           !self->lost_);
            self->on_bytes(n);
        });
}

void upstream_connection::on_bytes(std::size_t n)
{
    if (observer_ == nullptr)
    {
        // Bytes that arrive on an idle connection belong to no request.
        close();
        return;
    }
    auto const keep = shared_from_this();
    std::string_view bytes(buffer_.data(), n);
    while (!bytes.empty() && observer_ != nullptr && !closed_)
    {
        bytes.remove_prefix(reader_.feed(bytes, *this));
        if (closed_ || observer_ == nullptr)
            return;
        if (reader_.failed())
            return fail(upstream_failure::not_http);
        if (!reader_.complete())
            continue;
        if (!skipping_)
            return finish_exchange(!bytes.empty());
        reader_.reset(request_.is_head_request);
        skipping_ = false;
    }
    read();
}

void upstream_connection::on_read_error(bool orderly)
{
    if (observer_ == nullptr)
        return close();
    auto const keep = shared_from_this();
    auto const started = reader_.started();
    if (orderly && started)
        reader_.finish(*this);
    if (closed_ || observer_ == nullptr)
        return;
    if (reader_.complete() && !skipping_)
        return finish_exchange(true);
    fail(started ? upstream_failure::truncated : upstream_failure::no_answer);
}

void upstream_connection::on_head(response_head const& head)
{
    keep_alive_ = head.keep_alive && !head.ends_with_connection;
    auto const timeout = keep_alive_timeout(head.headers);
    idle_limit_ = options_->default_idle;
    if (timeout)
        idle_limit_ = std::max<std::chrono::milliseconds>(
            *timeout - idle_margin, min_idle_limit);
    if (!options_->id_field.empty())
    {
        auto const id = head.headers.find(options_->id_field);
        // Without an id, it may answer an earlier request.
        if (!id && names_requests_)
            return fail(upstream_failure::wrong_response);
        names_requests_ = names_requests_ || id.has_value();
        // A late response to an earlier request arrives before the one to this
        // request.
        skipping_ = id && *id != request_.id;
    }
    if (!skipping_ && observer_ != nullptr)
        observer_->on_head(head);
}

void upstream_connection::on_body(std::string_view bytes)
{
    if (!skipping_ && observer_ != nullptr)
        observer_->on_body(bytes);
}

void upstream_connection::on_end() {}

void upstream_connection::finish_exchange(bool must_close)
{
    auto* const observer = std::exchange(observer_, nullptr);
    // A peer that answered before it had read the whole request still expects
    // the rest.
    if (must_close || writing_ || lost_ || !keep_alive_)
        close();
    else
        become_idle();
    observer->on_end();
}

void upstream_connection::become_idle()
{
    idle_since_ = clock_.now();
    kernel::free_memory(request_);
    read();
}

void upstream_connection::fail(upstream_failure failure)
{
    auto* const observer = std::exchange(observer_, nullptr);
    close();
    if (observer != nullptr)
        observer->on_failure(failure);
}

void upstream_connection::abandon()
{
    observer_ = nullptr;
    close();
}

void upstream_connection::pause()
{
    paused_ = true;
}

void upstream_connection::resume()
{
    paused_ = false;
    if (connected_)
        read();
}

void upstream_connection::on_idle_close(closed_handler handler)
{
    idle_closed_ = std::move(handler);
}

bool upstream_connection::has_carried(std::string_view id) const
{
    return !id.empty() &&
           std::find(carried_.begin(), carried_.end(),
                     XXH3_64bits(id.data(), id.size())) != carried_.end();
}

void upstream_connection::note_carried(std::string_view id)
{
    if (id.empty())
        return;
    auto const hash = XXH3_64bits(id.data(), id.size());
    if (carried_.size() < max_carried)
        return carried_.push_back(hash);
    carried_[oldest_carried_] = hash;
    oldest_carried_ = (oldest_carried_ + 1) % max_carried;
}

bool upstream_connection::reusable(kernel::steady_time now) const
{
    return connected_ && !closed_ && observer_ == nullptr && !writing_ &&
           now - idle_since_ < idle_limit_;
}

void upstream_connection::close()
{
    if (closed_)
        return;
    closed_ = true;
    timer_.cancel();
    std::error_code ec;
    // An error means that the socket is already closed.
    socket_.close(ec);
    if (auto handler = std::exchange(idle_closed_, nullptr))
        handler(this);
}

} // namespace endiveward::gateway
