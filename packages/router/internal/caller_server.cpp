#include "router/caller_server.hpp"

#include "kernel/listed_socket.hpp"
#include "kernel/open_sockets.hpp"
#include "kernel/socket_use.hpp"
#include "router/caller_api.hpp"
#include "router/i_caller_response.hpp"
#include "router/types/caller_request.hpp"

#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <restinio/http_server.hpp>
#include <restinio/message_builders.hpp>
#include <restinio/settings.hpp>
#include <restinio/traits.hpp>

#include <algorithm>
#include <cctype>
#include <deque>
#include <future>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace endiveward::router
{

namespace
{

// RESTinio detects that a caller has disconnected only while it reads, and it
// reads during a call only if another pipelined request may follow.
constexpr std::size_t max_pipelined_requests = 2;
// RESTinio closes the connection without an answer when a message exceeds its
// limits. Its limits are higher by this factor, so that the API can answer
// messages up to them with the proper error.
constexpr std::size_t limit_headroom = 2;
constexpr std::size_t max_header_fields = 128;
constexpr std::chrono::seconds write_timeout{30};
// The call ends at its deadline; RESTinio's limit is only a safeguard.
constexpr std::chrono::seconds handling_margin{10};

/// Notifies calls when their caller has disconnected.
class connection_listener
{
public:
    using handler = std::function<void()>;

    void add(restinio::connection_id_t id, handler on_disconnect)
    {
        std::lock_guard const lock(mutex_);
        auto& handlers = handlers_[id];
        handlers.push_back(std::move(on_disconnect));
        // Older requests of the connection have been answered.
        if (handlers.size() > max_pipelined_requests)
            handlers.pop_front();
    }

    void
    state_changed(restinio::connection_state::notice_t const& notice) noexcept
    {
        using restinio::connection_state::closed_t;
        if (!restinio::holds_alternative<closed_t>(notice.cause()))
            return;
        for (auto const& it : take(notice.connection_id()))
            it();
    }

private:
    std::deque<handler> take(restinio::connection_id_t id)
    {
        std::lock_guard const lock(mutex_);
        auto const it = handlers_.find(id);
        if (it == handlers_.end())
            return {};
        auto out = std::move(it->second);
        handlers_.erase(it);
        return out;
    }

    std::mutex mutex_;
    std::unordered_map<restinio::connection_id_t, std::deque<handler>>
        handlers_;
};

struct traits : restinio::default_traits_t
{
    using connection_state_listener_t = connection_listener;
    using stream_socket_t = kernel::listed_socket;
};

using server = restinio::http_server_t<traits>;

char const* reason_phrase(int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 422:
        return "Unprocessable Entity";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

restinio::http_status_line_t status_line(int status)
{
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            reason_phrase(status)};
}

class restinio_response : public i_caller_response
{
public:
    restinio_response(restinio::request_handle_t request,
                      std::shared_ptr<kernel::socket_use> use)
        : token_(std::move(use))
        , request_(std::move(request))
    {
    }

    void send_complete(int status, headers const& fields,
                       std::string body) override
    {
        auto builder = request_->create_response(status_line(status));
        add_fields(builder, fields);
        builder.set_body(std::move(body));
        builder.done();
    }

    void begin_stream(int status, headers const& fields) override
    {
        stream_.emplace(request_->create_response<restinio::chunked_output_t>(
            status_line(status)));
        add_fields(*stream_, fields);
        stream_->append_header(restinio::http_field_t::cache_control,
                               "no-cache");
    }

    void write(std::string bytes, write_handler on_written) override
    {
        stream_->append_chunk(std::move(bytes));
        stream_->flush(
            [on_written = std::move(on_written)](asio::error_code const& ec)
            {
                if (on_written)
                    on_written(!ec);
            });
    }

    void end_stream() override { stream_->done(); }

private:
    template <typename Builder>
    static void add_fields(Builder& builder, headers const& fields)
    {
        for (auto const& it : fields)
            builder.append_header(it.name, it.value);
        builder.append_header_date_field();
    }

    kernel::request_token token_;
    restinio::request_handle_t request_;
    std::optional<restinio::response_builder_t<restinio::chunked_output_t>>
        stream_;
};

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char it)
                   { return static_cast<char>(std::tolower(it)); });
    return text;
}

caller_request read_request(restinio::request_handle_t const& request)
{
    caller_request out;
    out.method = request->header().method().c_str();
    out.target = request->header().request_target();
    request->header().for_each_field(
        [&out](auto const& field) {
            out.headers.push_back({to_lower(field.name()), field.value()});
        });
    out.body = request->body();
    return out;
}

} // namespace

class caller_server::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& context, caller_server_options options,
         std::shared_ptr<caller_api> api)
        : options_(std::move(options))
        , api_(std::move(api))
        , sockets_(asio::use_service<kernel::open_sockets>(context))
        , listener_(std::make_shared<connection_listener>())
        , server_(std::make_unique<server>(
              restinio::external_io_context(context),
              [this](restinio::server_settings_t<traits>& settings)
              { configure(settings); }))
    {
        sockets_.set_limit(options_.max_connections);
        sockets_.set_request_limit(options_.max_request_memory);
    }

    kernel::result<std::uint16_t> start()
    {
        std::promise<kernel::result<std::uint16_t>> promise;
        auto future = promise.get_future();
        server_->open_async([&] { promise.set_value(port_); },
                            [&](std::exception_ptr const& reason)
                            { promise.set_value(open_error(reason)); });
        return future.get();
    }

    void stop_accepting()
    {
        server_->close_async([self = shared_from_this()] {},
                             [](std::exception_ptr const&) {});
    }

private:
    void configure(restinio::server_settings_t<traits>& settings)
    {
        auto const header_limit = options_.max_header_bytes * limit_headroom;
        settings.address(options_.address)
            .port(options_.port)
            .max_pipelined_requests(max_pipelined_requests)
            .read_next_http_message_timelimit(options_.read_timeout)
            .write_http_response_timelimit(write_timeout)
            .handle_request_timeout(options_.max_deadline + handling_margin)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t()
                    .max_url_size(header_limit)
                    .max_field_name_size(header_limit)
                    .max_field_value_size(header_limit)
                    .max_field_count(max_header_fields)
                    .max_body_size(options_.max_body_bytes * limit_headroom))
            .connection_state_listener(listener_)
            .acceptor_post_bind_hook(
                [this](asio::ip::tcp::acceptor& acceptor)
                { port_ = acceptor.local_endpoint().port(); })
            .request_handler([this](restinio::request_handle_t const& request)
                             { return handle(request); });
    }

    restinio::request_handling_status_t
    handle(restinio::request_handle_t const& request)
    {
        auto on_disconnect = api_->handle(
            read_request(request),
            std::make_shared<restinio_response>(request, sockets_.current()));
        if (on_disconnect)
            listener_->add(request->connection_id(), std::move(on_disconnect));
        return restinio::request_accepted();
    }

    kernel::error open_error(std::exception_ptr const& reason) const
    {
        std::string message = "unknown";
        try
        {
            std::rethrow_exception(reason);
        }
        catch (std::exception const& ex)
        {
            message = ex.what();
        }
        return {kernel::error_kind::invalid_settings,
                fmt::format("cannot listen for callers on {}:{}: {}; choose a "
                            "free port and an address of this VM",
                            options_.address, options_.port, message),
                kernel::run_state::not_run,
                {}};
    }

    caller_server_options const options_;
    std::shared_ptr<caller_api> const api_;
    kernel::open_sockets& sockets_;
    std::shared_ptr<connection_listener> const listener_;
    std::uint16_t port_ = 0;
    std::unique_ptr<server> server_;
};

caller_server::caller_server(asio::io_context& context,
                             caller_server_options options,
                             std::shared_ptr<caller_api> api)
    : impl_(std::make_shared<impl>(context, std::move(options), std::move(api)))
{
}

caller_server::~caller_server() = default;

kernel::result<std::uint16_t> caller_server::start()
{
    return impl_->start();
}

void caller_server::stop_accepting()
{
    impl_->stop_accepting();
}

} // namespace endiveward::router
