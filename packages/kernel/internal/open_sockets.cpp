#include "kernel/open_sockets.hpp"

#include "kernel/listed_socket.hpp"

namespace endiveward::kernel
{

asio::execution_context::id open_sockets::id;

open_sockets::open_sockets(asio::execution_context& context)
    : asio::execution_context::service(context)
{
}

open_sockets::position open_sockets::add(listed_socket& socket)
{
    if (!sockets_.empty() && sockets_.size() >= limit_)
        sockets_.front()->close();
    return sockets_.insert(sockets_.end(), &socket);
}

void open_sockets::remove(position at)
{
    sockets_.erase(at);
}

} // namespace endiveward::kernel
