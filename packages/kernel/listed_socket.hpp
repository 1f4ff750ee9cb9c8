#ifndef ENDIVEWARD_KERNEL_LISTED_SOCKET_HPP
#define ENDIVEWARD_KERNEL_LISTED_SOCKET_HPP

#include "kernel/open_sockets.hpp"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
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

    /// Must be listed.
    socket_use& use() const { return *use_; }

    template <typename Buffers, typename Handler>
    auto async_read_some(Buffers const& buffers, Handler&& handler)
    {
        if (use_ == nullptr)
        {
            use_ = list_->make_use();
            at_ = list_->add(*this);
        }
        auto const executor =
            asio::get_associated_executor(handler, get_executor());
        return asio::ip::tcp::socket::async_read_some(
            buffers,
            asio::bind_executor(executor,
                                [list = list_, use = use_,
                                 handler = std::forward<Handler>(handler)](
                                    std::error_code ec, std::size_t n) mutable
                                {
                                    if (!ec)
                                        list->on_read(*use, n);
                                    // RESTinio expects that it knows of aborted
                                    // reads.
                                    if (use->displaced())
                                        ec = asio::error::connection_reset;
                                    list->set_current(use);
                                    handler(ec, n);
                                    list->set_current(nullptr);
                                }));
    }

    void close()
    {
        unlist();
        std::error_code ec;
        // An error means that the socket is already closed.
        asio::ip::tcp::socket::close(ec);
    }

    /// Closes the connection for the sake of others.
    void displace()
    {
        use_->displace();
        close();
    }

private:
    void unlist()
    {
        if (at_)
            list_->remove(*std::exchange(at_, std::nullopt));
    }

    open_sockets* list_;
    std::shared_ptr<socket_use> use_;
    std::optional<open_sockets::position> at_;
};

} // namespace endiveward::kernel

#endif
