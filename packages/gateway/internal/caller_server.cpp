#include "gateway/caller_server.hpp"

#include "gateway/buffer_memory.hpp"
#include "gateway/caller_connection.hpp"
#include "gateway/connection_policy.hpp"
#include "gateway/i_request_handler.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/process_resources.hpp"

#include <asio/io_context.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace endiveward::gateway
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{500};
/// Delay after a failed accept, for example when no file descriptors are left.
constexpr std::chrono::milliseconds accept_pause{50};
/// Pause between two reliefs of the memory.
constexpr std::chrono::milliseconds relief_pause{10};
/// Connections for one whose caller still reads its last response.
constexpr std::size_t lingering_share = 8;
/// The same for one whose caller has just made progress. The others are for
/// idle connections, which a crowd of new ones must not take.
constexpr std::size_t recent_share = 2;
constexpr std::size_t scratch_bytes = 16U << 10U;

std::vector<connection_load>
loads_of(std::vector<std::shared_ptr<caller_connection>> const& connections)
{
    std::vector<connection_load> res;
    res.reserve(connections.size());
    for (auto const& it : connections)
        res.push_back(it->load());
    return res;
}

} // namespace

caller_server::caller_server(asio::io_context& context,
                             kernel::i_clock const& clock,
                             i_request_handler& handler,
                             std::size_t max_connections)
    : clock_(clock)
    , handler_(handler)
    , max_connections_(max_connections)
    , acceptor_(context)
    , timer_(context)
    , accept_retry_(context)
    , relief_timer_(context)
    , scratch_(scratch_bytes)
{
    handler_.memory().on_scarce([this] { plan_relief(); });
}

caller_server::~caller_server() = default;

kernel::result<std::uint16_t> caller_server::listen(std::string const& address,
                                                    std::uint16_t port)
{
    std::error_code ec;
    auto const ip = asio::ip::make_address(address, ec);
    asio::ip::tcp::endpoint const local(ip, port);
    if (!ec)
        acceptor_.open(local.protocol(), ec);
    if (!ec)
        acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
    // Connections inherit it. The system doubles it for its own use.
    if (!ec)
        acceptor_.set_option(
            asio::socket_base::receive_buffer_size(caller_receive_bytes / 2),
            ec);
    if (!ec)
        acceptor_.bind(local, ec);
    if (!ec)
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return kernel::error{
            kernel::error_kind::invalid_settings,
            fmt::format("cannot listen for callers on {}:{}: {}; choose a free "
                        "port and an address of this VM",
                        address, port, ec.message()),
            kernel::run_state::not_run,
            {}};
    accept();
    tick();
    return acceptor_.local_endpoint().port();
}

void caller_server::accept()
{
    acceptor_.async_accept(
        [this](std::error_code ec, asio::ip::tcp::socket socket)
        {
            if (ec == asio::error::operation_aborted || !acceptor_.is_open())
                return;
            if (ec)
                return on_accept_failed();
            on_accepted(std::move(socket));
            accept();
        });
}

void caller_server::on_accepted(asio::ip::tcp::socket socket)
{
    if (connections_.size() >= max_connections_ && !make_place())
        return;
    i_connection_owner& self = *this;
    auto conn = std::make_shared<caller_connection>(std::move(socket), clock_,
                                                    handler_, self);
    connections_.emplace(conn.get(), conn);
    conn->start();
}

/// The process has no descriptors left.
void caller_server::on_accept_failed()
{
    if (free_descriptor())
        return accept();
    accept_retry_.expires_after(accept_pause);
    accept_retry_.async_wait(
        [this](std::error_code ec)
        {
            if (!ec && acceptor_.is_open())
                accept();
        });
}

/// Returns whether there is a place for one more connection, after the one that
/// has made no progress for longest has given way.
bool caller_server::make_place()
{
    auto const list = current();
    auto const loads = loads_of(list);
    // Callers that read a refusal have places of their own.
    auto const max_lingering = max_connections_ / lingering_share;
    if (list.size() < max_connections_ + max_lingering &&
        list.size() - count_lingering(loads) < max_connections_)
        return true;
    auto const found = connection_to_displace(
        loads, {max_lingering, max_connections_ / recent_share}, clock_.now());
    if (found)
        list[*found]->give_way();
    return connections_.size() < max_connections_ + max_lingering;
}

/// Frees a descriptor, if any connection can do without it.
bool caller_server::free_descriptor()
{
    auto const list = current();
    auto const found = connection_to_displace(
        loads_of(list), {0, max_connections_ / recent_share}, clock_.now());
    if (!found)
        return false;
    list[*found]->give_way();
    list[*found]->close();
    return true;
}

void caller_server::on_closed(caller_connection& connection)
{
    connections_.erase(&connection);
}

void caller_server::on_memory_full()
{
    relieve();
}

void caller_server::plan_relief()
{
    if (std::exchange(relief_planned_, true))
        return;
    // Not at once, since a connection must not be closed while it is read.
    relief_timer_.expires_after(relief_pause);
    relief_timer_.async_wait(
        [this](std::error_code ec)
        {
            relief_planned_ = false;
            if (!ec)
                relieve();
        });
}

void caller_server::relieve()
{
    auto const& memory = handler_.memory();
    if (!memory.scarce())
        return;
    auto const list = current();
    for (auto const n :
         connections_to_relieve(loads_of(list), memory.excess(), clock_.now()))
        list[n]->give_way();
    has_relieved_ = true;
}

/// The allocator keeps what was freed between blocks that are in use.
void caller_server::release_freed()
{
    if (handler_.memory().scarce() || !std::exchange(has_relieved_, false))
        return;
    kernel::release_free_memory();
}

void caller_server::tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](std::error_code ec)
        {
            if (ec)
                return;
            for (auto const& it : current())
                it->on_tick(clock_.now());
            release_freed();
            tick();
        });
}

/// Returns a copy, since connections remove themselves from the map when they
/// close.
std::vector<std::shared_ptr<caller_connection>> caller_server::current() const
{
    std::vector<std::shared_ptr<caller_connection>> res;
    res.reserve(connections_.size());
    for (auto const& [key, it] : connections_)
        res.push_back(it);
    return res;
}

void caller_server::stop_listening()
{
    std::error_code ec;
    // An error means that the listener is already closed.
    acceptor_.close(ec);
}

void caller_server::on_stop()
{
    for (auto const& it : current())
        it->on_stop();
}

void caller_server::close_idle()
{
    for (auto const& it : current())
        it->close_if_idle();
}

void caller_server::close_all()
{
    timer_.cancel();
    accept_retry_.cancel();
    relief_timer_.cancel();
    for (auto const& it : current())
        it->close();
}

} // namespace endiveward::gateway
