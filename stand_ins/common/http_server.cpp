#include "common/http_server.hpp"

#include <restinio/all.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

namespace endiveward::stand_ins
{

namespace
{

using server_traits =
    restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;

// RESTinio has no call that closes a connection in the middle of an answer,
// so the socket is found by its peer address.
void shut_down_peer(std::uint16_t peer_port)
{
    constexpr int max_descriptor = 4096;
    for (int fd = 3; fd < max_descriptor; ++fd)
    {
        sockaddr_in peer{};
        socklen_t n = sizeof(peer);
        if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &n) != 0)
            continue;
        if (peer.sin_family == AF_INET && ntohs(peer.sin_port) == peer_port)
            ::shutdown(fd, SHUT_RDWR);
    }
}

restinio::http_status_line_t status_line(int status)
{
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            status < 400 ? "OK" : "Error"};
}

http_request read_request(restinio::request_t const& from)
{
    http_request req;
    req.method = from.header().method().c_str();
    req.path = std::string(from.header().path());
    auto const query = restinio::parse_query(from.header().query());
    for (auto const& item : query)
        req.query.emplace(std::string(item.first), std::string(item.second));
    from.header().for_each_field(
        [&req](auto const& field)
        {
            std::string name(field.name());
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char it) { return std::tolower(it); });
            req.headers[name] = field.value();
        });
    req.body = from.body();
    return req;
}

class reply : public i_http_reply
{
public:
    explicit reply(restinio::request_handle_t request)
        : request_(std::move(request))
        , peer_port_(request_->remote_endpoint().port())
    {
    }

    http_request request() const { return read_request(*request_); }

    void send(int status, std::string body, header_map headers) override
    {
        auto resp = request_->create_response(status_line(status));
        for (auto const& [name, value] : headers)
            resp.append_header(name, value);
        if (headers.count("Content-Type") == 0)
            resp.append_header("Content-Type", "application/json");
        resp.set_body(std::move(body)).done();
    }

    void begin(int status, header_map headers) override
    {
        stream_ = std::make_unique<stream_builder>(
            request_->create_response<restinio::chunked_output_t>(
                status_line(status)));
        for (auto const& [name, value] : headers)
            stream_->append_header(name, value);
        stream_->flush();
    }

    bool write(std::string chunk) override
    {
        if (broken_)
            return false;
        auto written = std::make_shared<std::promise<bool>>();
        auto outcome = written->get_future();
        stream_->append_chunk(std::move(chunk));
        stream_->flush([written](auto const& ec) { written->set_value(!ec); });
        // A connection that is already closed may drop the notification.
        constexpr std::chrono::seconds write_limit{10};
        broken_ = outcome.wait_for(write_limit) != std::future_status::ready ||
                  !outcome.get();
        return !broken_;
    }

    void finish() override
    {
        if (!broken_)
            stream_->done();
    }

    void break_connection() override
    {
        broken_ = true;
        shut_down_peer(peer_port_);
    }

private:
    using stream_builder =
        restinio::response_builder_t<restinio::chunked_output_t>;

    restinio::request_handle_t request_;
    std::uint16_t peer_port_;
    std::unique_ptr<stream_builder> stream_;
    bool broken_ = false;
};

/// Counts the handlers that are running.
struct handler_count
{
    std::mutex mutex;
    std::condition_variable none;
    std::size_t running = 0;
    bool stopping = false;

    /// False if the server stops.
    bool enter()
    {
        std::lock_guard const lock(mutex);
        if (!stopping)
            ++running;
        return !stopping;
    }
    void leave()
    {
        std::lock_guard const lock(mutex);
        --running;
        none.notify_all();
    }
    /// Lets no further handler begin.
    void wait()
    {
        std::unique_lock lock(mutex);
        stopping = true;
        none.wait(lock, [this] { return running == 0; });
    }
};

} // namespace

std::string http_request::header(std::string const& name) const
{
    auto const it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::string http_request::parameter(std::string const& name,
                                    std::string const& otherwise) const
{
    auto const it = query.find(name);
    return it == query.end() ? otherwise : it->second;
}

class http_server::impl
{
public:
    impl(std::string const& address, std::uint16_t port, handler on_request)
        : on_request_(std::move(on_request))
    {
        constexpr std::chrono::minutes limit{20};
        auto settings =
            restinio::server_settings_t<server_traits>{}
                .address(address)
                .port(port)
                .read_next_http_message_timelimit(limit)
                .handle_request_timeout(limit)
                .write_http_response_timelimit(limit)
                .cleanup_func([] {})
                .acceptor_options_setter(
                    [](auto& options) {
                        options.set_option(
                            asio::ip::tcp::acceptor::reuse_address(true));
                    })
                .acceptor_post_bind_hook(
                    [this](asio::ip::tcp::acceptor& acceptor)
                    { port_ = acceptor.local_endpoint().port(); })
                .request_handler([this](restinio::request_handle_t request)
                                 { return accept(std::move(request)); });
        // With more threads, RESTinio may accept a connection on one of them
        // while another one closes the acceptor.
        constexpr std::size_t threads = 1;
        server_ = restinio::run_async(restinio::own_io_context(),
                                      std::move(settings), threads);
    }

    ~impl()
    {
        handlers_.wait();
        server_->stop();
        server_->wait();
    }

    std::uint16_t port() const { return port_; }

private:
    restinio::request_handling_status_t
    accept(restinio::request_handle_t request)
    {
        // A handler that began now would outlive the server. The request gets
        // no answer; its connection is closed with the server.
        if (!handlers_.enter())
            return restinio::request_accepted();
        std::thread(
            [this, held = std::move(request)]() mutable
            {
                run(std::move(held));
                handlers_.leave();
            })
            .detach();
        return restinio::request_accepted();
    }

    // Releases the request before the server may be destroyed.
    void run(restinio::request_handle_t request)
    {
        reply answer(std::move(request));
        try
        {
            on_request_(answer.request(), answer);
        }
        catch (std::exception const& ex)
        {
            answer.send(400, std::string(ex.what()) + "\n",
                        {{"Content-Type", "text/plain"}});
        }
    }

    handler on_request_;
    handler_count handlers_;
    std::uint16_t port_ = 0;
    restinio::running_server_handle_t<server_traits> server_;
};

http_server::http_server(std::string const& address, std::uint16_t port,
                         handler on_request)
    : impl_(std::make_unique<impl>(address, port, std::move(on_request)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return impl_->port();
}

} // namespace endiveward::stand_ins
