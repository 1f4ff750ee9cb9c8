#include "wire/internal/connection.hpp"

#include "kernel/free_memory.hpp"
#include "kernel/i_random_source.hpp"
#include "kernel/tcp_liveness.hpp"
#include "kernel/types/result.hpp"
#include "wire/codec.hpp"
#include "wire/i_connection_observer.hpp"
#include "wire/i_local_identity.hpp"
#include "wire/session_keys.hpp"
#include "wire/types/wire_counters.hpp"

#include <asio/post.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace endiveward::wire
{

namespace
{

constexpr std::size_t nonce_bytes = 32;
/// Data that a peer has not acknowledged for this long ends the connection.
constexpr std::chrono::milliseconds peer_timeout{5000};
// A peer that is not authenticated yet gets little memory.
constexpr std::size_t max_hello_bytes = 16U << 10U;
constexpr std::size_t max_batch_frames = 64;
/// A process has a connection to each engine, so that the buffers are small;
/// most frames have a few hundred bytes.
constexpr std::size_t min_inbox_bytes = 2048;

std::vector<std::uint8_t> make_nonce(kernel::i_random_source& random)
{
    std::vector<std::uint8_t> nonce(nonce_bytes);
    for (std::size_t n = 0; n < nonce_bytes; n += sizeof(std::uint64_t))
    {
        auto const number = random.next();
        std::memcpy(nonce.data() + n, &number, sizeof(number));
    }
    return nonce;
}

} // namespace

connection::connection(asio::ip::tcp::socket socket, side own_side,
                       std::shared_ptr<connection_options const> options)
    : options_(std::move(options))
    , socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , side_(own_side)
{
}

void connection::start(open_handler handler)
{
    open_handler_ = std::move(handler);
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   self->start_timeout();
                   self->begin_handshake();
               });
}

void connection::connect(asio::ip::tcp::endpoint const& address,
                         open_handler handler)
{
    open_handler_ = std::move(handler);
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), address]
               {
                   self->start_timeout();
                   self->socket_.async_connect(
                       address,
                       [self](std::error_code ec)
                       {
                           if (ec)
                               self->fail(self->io_error("connect", ec));
                           else
                               self->begin_handshake();
                       });
               });
}

void connection::start_timeout()
{
    timer_.expires_after(options_->handshake_timeout);
    timer_.async_wait(
        [self = shared_from_this()](std::error_code ec)
        {
            if (ec || self->was_open_)
                return;
            self->fail({kernel::error_kind::connection_lost,
                        "the handshake timed out; check that the other "
                        "process runs and answers",
                        kernel::run_state::not_run,
                        {}});
        });
}

void connection::begin_handshake()
{
    if (failed_)
        return;
    std::error_code ec;
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    kernel::watch_peer(socket_, peer_timeout);
    // The server answers a hello, so that a port scan learns nothing.
    if (side_ == side::client)
        send_hello();
    read_more();
}

void connection::send_hello()
{
    hello own = options_->identity->describe();
    own.protocol = protocol_version;
    own.nonce = make_nonce(*options_->random);
    own_hello_ = encode(own);
    enqueue({own_hello_, {}, false, {}, {}});
    // Before the keys exist, since a hello has no tag.
    if (in_flight_.empty())
        write_next();
}

void connection::send(message const& msg, write_handler handler)
{
    outgoing_frame frame{
        encode(msg), std::move(handler), is_call_message(msg), {}, {}};
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), frame = std::move(frame)]() mutable
               {
                   if (self->failed_)
                   {
                       if (frame.handler)
                           frame.handler(write_outcome::not_started);
                       return;
                   }
                   self->enqueue(std::move(frame));
               });
}

void connection::enqueue(outgoing_frame frame)
{
    pending_bytes_ += frame.wire_size();
    pending_.push_back(std::move(frame));
    if (pending_bytes_ > options_->max_pending_bytes)
    {
        fail({kernel::error_kind::connection_lost,
              "the peer does not read fast enough; check its load",
              kernel::run_state::unknown,
              {}});
        return;
    }
    if (in_flight_.empty() && !std::exchange(write_posted_, true))
        post_write();
}

/// Writes after the tasks that were already posted, so that messages that are
/// sent one after the other share a system call.
void connection::post_write()
{
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   self->write_posted_ = false;
                   if (!self->failed_ && self->in_flight_.empty())
                       self->write_next();
               });
}

void connection::write_next()
{
    while (!pending_.empty() && in_flight_.size() < max_batch_frames)
    {
        in_flight_.push_back(std::move(pending_.front()));
        pending_.pop_front();
    }
    if (in_flight_.empty())
        return;

    std::vector<asio::const_buffer> buffers;
    buffers.reserve(in_flight_.size() * 3);
    for (auto& it : in_flight_)
    {
        auto const size = static_cast<std::uint32_t>(it.payload.size());
        std::memcpy(it.prefix.data(), &size, sizeof(size));
        std::memcpy(it.prefix.data() + sizeof(size), &next_sent_,
                    sizeof(next_sent_));
        if (outbound_)
            it.tag = outbound_->compute(next_sent_, it.payload);
        ++next_sent_;
        buffers.push_back(asio::buffer(it.prefix));
        buffers.push_back(asio::buffer(it.payload));
        buffers.push_back(asio::buffer(it.tag));
    }
    asio::async_write(
        socket_, buffers,
        [self = shared_from_this()](std::error_code ec, std::size_t n)
        { self->on_written(ec, n); });
}

void connection::on_written(std::error_code ec, std::size_t n)
{
    finish_batch(n);
    if (ec)
        fail(io_error("write", ec));
    else if (!failed_)
        write_next();
}

void connection::finish_batch(std::size_t written)
{
    auto batch = std::move(in_flight_);
    in_flight_.clear();
    std::size_t begin = 0;
    for (auto& it : batch)
    {
        auto const size = it.wire_size();
        auto const outcome = written >= begin + size ? write_outcome::written
                             : written <= begin ? write_outcome::not_started
                                                : write_outcome::uncertain;
        begin += size;
        pending_bytes_ -= size;
        auto& counter = it.call ? options_->counters->call_bytes_sent
                                : options_->counters->control_bytes_sent;
        if (outcome == write_outcome::written)
            counter += size;
        if (it.handler)
            it.handler(outcome);
    }
}

void connection::read_more()
{
    make_room();
    socket_.async_read_some(
        asio::buffer(inbox_.data() + inbox_end_, inbox_.size() - inbox_end_),
        [self = shared_from_this()](std::error_code ec, std::size_t n)
        {
            if (ec)
                return self->fail(self->io_error("read", ec));
            self->inbox_end_ += n;
            self->process_inbox();
        });
}

/// Moves unprocessed bytes to the front, and makes room for the frame that has
/// begun to arrive.
void connection::make_room()
{
    auto const n = inbox_end_ - inbox_begin_;
    if (inbox_begin_ > 0 && n > 0)
        std::memmove(inbox_.data(), inbox_.data() + inbox_begin_, n);
    inbox_begin_ = 0;
    inbox_end_ = n;
    // A peer gets the memory for a long frame as the frame arrives.
    auto const wanted =
        std::max(min_inbox_bytes, std::min(incoming_frame_bytes_, 2 * n));
    // The memory of a long frame is released after it.
    if (n == 0 && inbox_.size() > wanted)
        inbox_ = std::vector<std::uint8_t>(wanted);
    else if (inbox_.size() < wanted)
        inbox_.resize(wanted);
}

void connection::process_inbox()
{
    while (!failed_ && take_frame())
        on_payload();
    if (!failed_)
        read_more();
}

/// Moves the next frame to `payload_`. Returns false if it has not arrived
/// completely, or is invalid and has ended the connection.
bool connection::take_frame()
{
    incoming_frame_bytes_ = 0;
    auto const available = inbox_end_ - inbox_begin_;
    if (available < prefix_size)
        return false;
    std::uint32_t size = 0;
    std::uint64_t number = 0;
    auto const* const begin = inbox_.data() + inbox_begin_;
    std::memcpy(&size, begin, sizeof(size));
    std::memcpy(&number, begin + sizeof(size), sizeof(number));
    auto const limit = was_open_ ? options_->max_frame_bytes : max_hello_bytes;
    if (size > limit)
    {
        reject(fmt::format("a frame of {} bytes exceeds the limit of {}", size,
                           limit));
        return false;
    }
    if (number != next_received_)
    {
        reject("a frame is out of sequence");
        return false;
    }
    auto const total = prefix_size + size + frame_authenticator::tag_size;
    if (available < total)
    {
        incoming_frame_bytes_ = total;
        return false;
    }
    payload_.assign(begin + prefix_size, begin + total);
    inbox_begin_ += total;
    return true;
}

void connection::on_payload()
{
    if (failed_)
        return;
    if (hello_received_ && !accept_tag())
        return reject("a frame has a wrong authentication tag; check that both "
                      "processes have the same cluster key");
    ++next_received_;
    auto const wire_size = prefix_size + payload_.size();
    payload_.resize(payload_.size() - frame_authenticator::tag_size);
    auto res = decode(payload_);
    if (!kernel::ok(res))
        return reject(kernel::failure(res).message);
    auto msg = kernel::value(std::move(res));
    count_received(is_call_message(msg), wire_size);
    if (hello_received_)
        on_authenticated(std::move(msg));
    else
        on_hello(std::move(msg));
}

bool connection::accept_tag()
{
    auto const size = payload_.size() - frame_authenticator::tag_size;
    std::span<std::uint8_t const> const all(payload_);
    return inbound_->matches(next_received_, all.first(size),
                             all.subspan(size));
}

void connection::on_hello(message msg)
{
    auto* const received = std::get_if<hello>(&msg);
    if (received == nullptr)
        return reject("the first message is not a hello");
    if (received->protocol != protocol_version)
        return reject(fmt::format("the peer has protocol version {}, this "
                                  "process has {}; upgrade the older one",
                                  received->protocol, protocol_version));
    if (received->nonce.size() != nonce_bytes)
        return reject("the hello has no nonce");
    hello_received_ = true;
    if (side_ == side::server)
        send_hello();
    derive_keys();
    peer_ = std::move(*received);
    // The first authenticated frame proves that this side has the key.
    send_state();
}

/// Sends the state of this process unless the peer has it from the handshake.
void connection::send_state()
{
    auto const own = options_->identity->describe();
    auto state = encode(heartbeat{own.config_version, own.load, false});
    if (state == sent_state_)
        return;
    sent_state_ = state;
    enqueue({std::move(state), {}, false, {}, {}});
}

void connection::derive_keys()
{
    auto const& client = side_ == side::client ? own_hello_ : payload_;
    auto const& server = side_ == side::client ? payload_ : own_hello_;
    auto const keys = derive_session_keys(options_->key, client, server);
    bool const is_client = side_ == side::client;
    outbound_.emplace(is_client ? keys.client_to_server
                                : keys.server_to_client);
    inbound_.emplace(is_client ? keys.server_to_client : keys.client_to_server);
}

void connection::on_authenticated(message msg)
{
    if (!was_open_)
        become_open();
    if (std::holds_alternative<hello>(msg))
        return reject("a second hello arrived on the connection");
    options_->observer->on_message(shared_from_this(), std::move(msg));
}

void connection::become_open()
{
    was_open_ = true;
    open_ = true;
    timer_.cancel();
    ++options_->counters->connections_opened;
    options_->observer->on_open(shared_from_this());
    if (auto handler = std::exchange(open_handler_, {}))
        handler(std::nullopt);
    // The observer reports changes to open connections only.
    if (open_)
        send_state();
    kernel::free_memory(sent_state_);
}

void connection::close()
{
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   self->fail({kernel::error_kind::connection_lost,
                               "closed by this process",
                               kernel::run_state::unknown,
                               {}});
               });
}

void connection::abandon_handshake()
{
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   if (self->was_open_)
                       return;
                   self->fail({kernel::error_kind::connection_lost,
                               "gave way to a newer handshake",
                               kernel::run_state::not_run,
                               {}});
               });
}

void connection::reject(std::string reason)
{
    ++options_->counters->frames_rejected;
    fail({kernel::error_kind::protocol_violation,
          std::move(reason),
          kernel::run_state::unknown,
          {}});
}

void connection::fail(kernel::error reason)
{
    if (std::exchange(failed_, true))
        return;
    open_ = false;
    timer_.cancel();
    std::error_code ec;
    socket_.close(ec);
    auto const pending = std::move(pending_);
    pending_.clear();
    for (auto const& it : pending)
    {
        pending_bytes_ -= it.wire_size();
        if (it.handler)
            it.handler(write_outcome::not_started);
    }
    if (was_open_)
    {
        ++options_->counters->connections_closed;
        options_->observer->on_closed(shared_from_this(), reason);
        return;
    }
    ++options_->counters->handshakes_failed;
    if (auto handler = std::exchange(open_handler_, {}))
        handler(std::move(reason));
}

void connection::count_received(bool call, std::size_t n)
{
    auto& counters = *options_->counters;
    auto& counter =
        call ? counters.call_bytes_received : counters.control_bytes_received;
    counter += n;
}

kernel::error connection::io_error(std::string const& what,
                                   std::error_code const& ec) const
{
    return {kernel::error_kind::connection_lost,
            fmt::format("{} failed: {}; check that the other process runs",
                        what, ec.message()),
            was_open_ ? kernel::run_state::unknown : kernel::run_state::not_run,
            {}};
}

} // namespace endiveward::wire
