#include "kernel/open_sockets.hpp"

#include "kernel/listed_socket.hpp"

#include <algorithm>
#include <utility>

namespace endiveward::kernel
{

namespace
{

/// Requests of ordinary callers are mostly smaller. Larger ones give way first.
constexpr std::size_t small_request_bytes =
    open_sockets::memory_per_byte * (48U << 10U);

} // namespace

asio::execution_context::id open_sockets::id;

open_sockets::open_sockets(asio::execution_context& context)
    : asio::execution_context::service(context)
{
}

std::shared_ptr<socket_use> open_sockets::make_use() const
{
    return std::make_shared<socket_use>(totals_);
}

open_sockets::position open_sockets::add(listed_socket& socket)
{
    if (sockets_.size() >= limit_)
    {
        if (auto* const found = find_displaceable(0))
            found->displace();
    }
    auto const at = sockets_.insert(sockets_.end(), &socket);
    // Requests are in progress on all others.
    if (sockets_.size() > limit_)
        socket.use().displace();
    return at;
}

void open_sockets::remove(position at)
{
    sockets_.erase(at);
}

void open_sockets::on_read(socket_use& use, std::size_t bytes)
{
    use.on_read(memory_per_byte * bytes);
    std::size_t const received = totals_->bytes;
    for (auto excess = received - std::min(received, request_limit_);
         excess > 0;)
    {
        auto* found = find_displaceable(small_request_bytes);
        if (found == nullptr)
            found = find_displaceable(1);
        if (found == nullptr)
            return;
        excess -= std::min(excess, found->use().bytes());
        found->displace();
    }
}

void open_sockets::set_current(std::shared_ptr<socket_use> use)
{
    current_ = std::move(use);
}

/// Returns the connection that has made no progress for longest, of those that
/// have received so many bytes. Idle ones, whose callers may use them again,
/// come last.
listed_socket* open_sockets::find_displaceable(std::size_t least_bytes) const
{
    listed_socket* res = nullptr;
    auto const rank = [](listed_socket const& it)
    { return std::pair(it.use().idle(), it.use().last_step()); };
    for (auto* const it : sockets_)
    {
        if (it->use().serving() || it->use().bytes() < least_bytes)
            continue;
        if (res == nullptr || rank(*it) < rank(*res))
            res = it;
    }
    return res;
}

} // namespace endiveward::kernel
