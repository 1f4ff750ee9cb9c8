#ifndef ENDIVEWARD_KERNEL_SOCKET_USE_HPP
#define ENDIVEWARD_KERNEL_SOCKET_USE_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace endiveward::kernel
{

/// Counts for all connections of a server.
struct socket_totals
{
    /// Memory of requests that are not answered yet.
    std::atomic<std::size_t> bytes{0};
    std::atomic<std::uint64_t> steps{0};
};

/// What the requests of a connection take. Requests may end on any thread.
class socket_use
{
public:
    explicit socket_use(std::shared_ptr<socket_totals> totals);
    ~socket_use();
    socket_use(socket_use const&) = delete;
    socket_use& operator=(socket_use const&) = delete;

    void on_read(std::size_t bytes);
    /// A request is complete and is being served.
    void on_request_begin();
    void on_request_end();
    /// The connection is closed for the sake of others.
    void displace();

    std::size_t bytes() const { return bytes_; }
    bool serving() const { return requests_ > 0; }
    bool displaced() const { return displaced_; }
    /// Whether nothing has arrived since a request was served.
    bool idle() const { return served_ && bytes_ == 0; }
    /// Increases when a connection is opened, when a request begins to arrive
    /// and when it ends.
    std::uint64_t last_step() const { return last_step_; }

private:
    std::shared_ptr<socket_totals> totals_;
    std::atomic<std::size_t> bytes_{0};
    std::atomic<unsigned> requests_{0};
    std::atomic<std::uint64_t> last_step_;
    std::atomic<bool> served_{false};
    std::atomic<bool> displaced_{false};
};

/// Keeps a connection from being closed while its request is in progress.
class request_token
{
public:
    explicit request_token(std::shared_ptr<socket_use> use);
    ~request_token();
    request_token(request_token const&) = delete;
    request_token& operator=(request_token const&) = delete;

private:
    std::shared_ptr<socket_use> use_;
};

} // namespace endiveward::kernel

#endif
