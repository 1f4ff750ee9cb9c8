#include "wire/connector.hpp"

#include "wire/internal/connection.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <fmt/format.h>

namespace endiveward::wire
{

connector::connector(std::shared_ptr<connection_options const> options)
    : options_(std::move(options))
{
}

void connector::connect(asio::io_context& context, std::string const& address,
                        std::uint16_t port, handler on_done) const
{
    std::error_code ec;
    auto const ip = asio::ip::make_address(address, ec);
    if (ec)
    {
        kernel::error err{
            kernel::error_kind::invalid_settings,
            fmt::format("'{}' is not an IP address; write it in numbers",
                        address),
            kernel::run_state::not_run,
            {}};
        asio::post(context, [on_done = std::move(on_done), err = std::move(err)]
                   { on_done(err); });
        return;
    }
    auto conn = std::make_shared<connection>(
        asio::ip::tcp::socket(context), connection::side::client, options_);
    conn->connect(
        {ip, port},
        [on_done = std::move(on_done), weak = std::weak_ptr<connection>(conn)](
            std::optional<kernel::error> failure)
        {
            if (failure)
                on_done(*failure);
            else
                on_done(std::shared_ptr<i_connection>(weak.lock()));
        });
}

} // namespace endiveward::wire
