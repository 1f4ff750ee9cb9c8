#ifndef ENDIVEWARD_KERNEL_LISTED_SOCKET_HPP
#define ENDIVEWARD_KERNEL_LISTED_SOCKET_HPP

#include "kernel/open_sockets.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <optional>
#include <utility>

namespace endiveward::kernel
{

/// A socket that is listed in the `open_sockets` of its io_context from its
/// first read on. Must not be moved after it.
class listed_socket : public asio::ip::tcp::socket
{
public:
    explicit listed_socket(asio::io_context& context)
        : asio::ip::tcp::socket(context)
        , list_(&asio::use_service<open_sockets>(context))
    {
    }
    listed_socket(listed_socket&& other) noexcept
        : asio::ip::tcp::socket(std::move(other))
        , list_(other.list_)
    {
    }
    ~listed_socket() { unlist(); }
    listed_socket(listed_socket const&) = delete;
    listed_socket& operator=(listed_socket const&) = delete;
    listed_socket& operator=(listed_socket&&) = delete;

    template <typename Buffers, typename Handler>
    auto async_read_some(Buffers const& buffers, Handler&& handler)
    {
        if (!at_)
            at_ = list_->add(*this);
        return asio::ip::tcp::socket::async_read_some(
            buffers, std::forward<Handler>(handler));
    }

    void close()
    {
        unlist();
        std::error_code ec;
        // An error means that the socket is already closed.
        asio::ip::tcp::socket::close(ec);
    }

private:
    void unlist()
    {
        if (at_)
            list_->remove(*std::exchange(at_, std::nullopt));
    }

    open_sockets* list_;
    std::optional<open_sockets::position> at_;
};

} // namespace endiveward::kernel

#endif
