#ifndef ENDIVEWARD_WIRE_ACCEPTOR_HPP
#define ENDIVEWARD_WIRE_ACCEPTOR_HPP

#include "kernel/types/result.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace endiveward::kernel
{
class thread_pool;
}

namespace endiveward::wire
{

struct connection_options;

/// Accepts connections of other processes and spreads them over a pool.
class acceptor
{
public:
    acceptor(kernel::thread_pool& pool,
             std::shared_ptr<connection_options const> options);
    ~acceptor();
    acceptor(acceptor const&) = delete;
    acceptor& operator=(acceptor const&) = delete;

    /// Listens; port 0 takes a free one. Gives the port in use.
    kernel::result<std::uint16_t> listen(std::string const& address,
                                         std::uint16_t port);
    /// Stops accepting; open connections stay.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace endiveward::wire

#endif
