#include "support/client_crowd.hpp"

#include <sys/socket.h>
#include <sys/time.h>

namespace endiveward::test_support
{

client_crowd::client_crowd(std::uint16_t port)
    : port_(port)
{
}

client_crowd::~client_crowd() = default;

void client_crowd::add(unsigned clients, std::string const& text)
{
    // A client that the process does not read from gives up sending.
    timeval const limit{0, 300000};
    for (unsigned n = 0; n < clients; ++n)
    {
        asio::ip::tcp::socket socket(context_);
        socket.open(asio::ip::tcp::v4());
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit,
                   sizeof(limit));
        std::error_code ec;
        if (socket.connect({asio::ip::make_address("127.0.0.1"), port_}, ec))
            continue;
        // Errors are ignored: what the process does not take is not sent.
        for (std::size_t sent = 0; sent < text.size();)
        {
            auto const size = ::send(socket.native_handle(), text.data() + sent,
                                     text.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                break;
            sent += static_cast<std::size_t>(size);
        }
        sockets_.push_back(std::move(socket));
    }
}

} // namespace endiveward::test_support
