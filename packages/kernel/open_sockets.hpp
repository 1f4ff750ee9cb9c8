#ifndef ENDIVEWARD_KERNEL_OPEN_SOCKETS_HPP
#define ENDIVEWARD_KERNEL_OPEN_SOCKETS_HPP

#include <asio/execution_context.hpp>

#include <cstddef>
#include <limits>
#include <list>

namespace endiveward::kernel
{

class listed_socket;

/// The sockets of the connections that a server has on an io_context. If there
/// are too many, the one that has been open for longest is closed: RESTinio
/// stops accepting at a limit of its own, and for good once a process has no
/// descriptors left. The io_context must be run by one thread.
class open_sockets : public asio::execution_context::service
{
public:
    using key_type = open_sockets;
    using position = std::list<listed_socket*>::iterator;

    static asio::execution_context::id id;

    explicit open_sockets(asio::execution_context& context);

    void set_limit(std::size_t limit) { limit_ = limit; }
    std::size_t size() const { return sockets_.size(); }

    position add(listed_socket& socket);
    void remove(position at);

private:
    void shutdown() override {}

    std::list<listed_socket*> sockets_;
    std::size_t limit_ = std::numeric_limits<std::size_t>::max();
};

} // namespace endiveward::kernel

#endif
