#include "observe/operator_server.hpp"

#include "kernel/listed_socket.hpp"
#include "kernel/open_sockets.hpp"
#include "observe/internal/operator_api.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <restinio/http_server.hpp>
#include <restinio/message_builders.hpp>
#include <restinio/settings.hpp>
#include <restinio/traits.hpp>

#include <thread>

namespace endiveward::observe
{

namespace
{

struct traits : restinio::default_single_thread_traits_t
{
    using stream_socket_t = kernel::listed_socket;
};

using server = restinio::http_server_t<traits>;

constexpr std::size_t max_url_bytes = 1024;
// A connection may hold as much as these allow together.
constexpr std::size_t max_headers = 32;
constexpr std::size_t max_header_name_bytes = 128;
constexpr std::size_t max_header_value_bytes = 2048;
constexpr std::size_t max_body_bytes = 4096;
constexpr std::chrono::seconds read_timeout{5};

std::string_view header_of(restinio::request_handle_t const& request,
                           restinio::http_field_t field)
{
    auto const value = request->header().opt_value_of(field);
    if (!value)
        return {};
    return {value->data(), value->size()};
}

operator_response answer(operator_api const& api,
                         restinio::request_handle_t const& request)
{
    auto const target = request->header().request_target();
    try
    {
        return api.get(
            target, header_of(request, restinio::http_field_t::authorization));
    }
    catch (std::exception const&)
    {
        return {500, "text/plain",
                "the answer could not be made; see the process's log\n"};
    }
}

restinio::request_handling_status_t
handle(operator_api const& api, restinio::request_handle_t const& request)
{
    operator_response res{405, "text/plain", "use GET\n"};
    if (request->header().method() == restinio::http_method_get())
        res = answer(api, request);
    auto builder = request->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(res.status)),
        res.status == 200 ? "OK" : "Error"));
    builder.append_header(restinio::http_field_t::content_type,
                          res.content_type);
    builder.append_header_date_field();
    builder.set_body(std::move(res.body));
    return builder.done();
}

} // namespace

class operator_server::impl
{
public:
    explicit impl(operator_server_options options)
        : address_(options.address)
        , port_(options.port)
        , max_connections_(options.max_connections)
        , api_(std::move(options))
    {
    }
    ~impl() { stop(); }
    impl(impl const&) = delete;
    impl& operator=(impl const&) = delete;

    kernel::result<std::uint16_t> start()
    {
        try
        {
            make_server();
            server_->open_sync();
        }
        catch (std::exception const& ex)
        {
            server_.reset();
            return kernel::error{
                kernel::error_kind::invalid_settings,
                fmt::format("cannot listen for operators on {}:{}: {}; choose "
                            "a free port and an address of this VM",
                            address_, port_, ex.what()),
                kernel::run_state::not_run,
                {}};
        }
        thread_ = std::thread([this] { context_.run(); });
        return port_;
    }

    void stop()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
        server_.reset();
    }

private:
    void make_server()
    {
        asio::use_service<kernel::open_sockets>(context_).set_limit(
            max_connections_);
        server_ = std::make_unique<server>(
            restinio::external_io_context(context_),
            [this](restinio::server_settings_t<traits>& settings)
            {
                settings.address(address_)
                    .port(port_)
                    .read_next_http_message_timelimit(read_timeout)
                    .write_http_response_timelimit(read_timeout)
                    .incoming_http_msg_limits(
                        restinio::incoming_http_msg_limits_t()
                            .max_url_size(max_url_bytes)
                            .max_field_name_size(max_header_name_bytes)
                            .max_field_value_size(max_header_value_bytes)
                            .max_field_count(max_headers)
                            .max_body_size(max_body_bytes))
                    .acceptor_post_bind_hook(
                        [this](asio::ip::tcp::acceptor& acceptor)
                        { port_ = acceptor.local_endpoint().port(); })
                    .request_handler([this](auto const& request)
                                     { return handle(api_, request); });
            });
    }

    std::string address_;
    std::uint16_t port_;
    std::size_t max_connections_;
    operator_api api_;
    asio::io_context context_{1};
    std::unique_ptr<server> server_;
    std::thread thread_;
};

operator_server::operator_server(operator_server_options options)
    : impl_(std::make_unique<impl>(std::move(options)))
{
}

operator_server::~operator_server() = default;

kernel::result<std::uint16_t> operator_server::start()
{
    return impl_->start();
}

void operator_server::stop()
{
    impl_->stop();
}

} // namespace endiveward::observe
