#ifndef ENDIVEWARD_TEST_SUPPORT_CLIENT_CROWD_HPP
#define ENDIVEWARD_TEST_SUPPORT_CLIENT_CROWD_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace endiveward::test_support
{

/// Clients that send something, read nothing and stay connected. That the
/// process refuses them or closes their connections is no error.
class client_crowd
{
public:
    explicit client_crowd(std::uint16_t port);
    ~client_crowd();
    client_crowd(client_crowd const&) = delete;
    client_crowd& operator=(client_crowd const&) = delete;

    /// Connects more clients. Each sends the text, or as much of it as the
    /// process takes.
    void add(unsigned clients, std::string const& text);
    std::size_t size() const { return sockets_.size(); }

private:
    asio::io_context context_;
    std::uint16_t port_;
    std::vector<asio::ip::tcp::socket> sockets_;
};

} // namespace endiveward::test_support

#endif
