#ifndef ENDIVEWARD_TEST_SUPPORT_TCP_RELAY_HPP
#define ENDIVEWARD_TEST_SUPPORT_TCP_RELAY_HPP

#include <cstddef>
#include <cstdint>
#include <memory>

namespace endiveward::test_support
{

/// Forwards loopback connections to another port, so that a test can break
/// them while both processes run. Errors throw `std::system_error`.
class tcp_relay
{
public:
    explicit tcp_relay(std::uint16_t target_port);
    ~tcp_relay();
    tcp_relay(tcp_relay const&) = delete;
    tcp_relay& operator=(tcp_relay const&) = delete;

    std::uint16_t port() const;
    /// Breaks all connections and gives how many; new ones are forwarded.
    std::size_t cut();

private:
    class server;

    std::shared_ptr<server> server_;
};

} // namespace endiveward::test_support

#endif
