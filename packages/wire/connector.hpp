#ifndef ENDIVEWARD_WIRE_CONNECTOR_HPP
#define ENDIVEWARD_WIRE_CONNECTOR_HPP

#include "kernel/types/result.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio
{
class io_context;
}

namespace endiveward::wire
{

struct connection_options;
class i_connection;

/// Opens connections to other processes.
class connector
{
public:
    using handler =
        std::function<void(kernel::result<std::shared_ptr<i_connection>>)>;

    explicit connector(std::shared_ptr<connection_options const> options);

    /// Connects to an IP address. The handler runs on a thread of `context`,
    /// after the observer's `on_open`.
    void connect(asio::io_context& context, std::string const& address,
                 std::uint16_t port, handler on_done) const;

private:
    std::shared_ptr<connection_options const> options_;
};

} // namespace endiveward::wire

#endif
