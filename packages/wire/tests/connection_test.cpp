#include "kernel/seeded_random_source.hpp"
#include "kernel/thread_pool.hpp"
#include "wire/acceptor.hpp"
#include "wire/connection_options.hpp"
#include "wire/connector.hpp"
#include "wire/i_connection.hpp"
#include "wire/i_connection_observer.hpp"
#include "wire/i_local_identity.hpp"
#include "wire/types/wire_counters.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace endiveward::wire
{

namespace
{

constexpr std::chrono::seconds patience{20};

class fixed_identity : public i_local_identity
{
public:
    hello describe() const override
    {
        hello own;
        own.process = kernel::process_id("test");
        return own;
    }
};

/// A process whose state has changed whenever it is described.
class changing_identity : public i_local_identity
{
public:
    hello describe() const override
    {
        hello own;
        own.process = kernel::process_id("test");
        own.config_version = ++looks_;
        return own;
    }
    std::uint64_t looks() const { return looks_; }

private:
    mutable std::atomic<std::uint64_t> looks_{0};
};

class recording_observer : public i_connection_observer
{
public:
    void on_open(std::shared_ptr<i_connection> const& conn) override
    {
        std::lock_guard const lock(mutex_);
        opened_ = conn;
        changed_.notify_all();
    }
    void on_message(std::shared_ptr<i_connection> const&, message msg) override
    {
        std::lock_guard const lock(mutex_);
        messages_.push_back(std::move(msg));
        changed_.notify_all();
    }
    void on_closed(std::shared_ptr<i_connection> const&,
                   kernel::error const& reason) override
    {
        std::lock_guard const lock(mutex_);
        closed_ = reason;
        changed_.notify_all();
    }

    std::vector<message> wait_for_messages(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, patience,
                          [&] { return messages_.size() >= count; });
        return messages_;
    }
    bool wait_for_close()
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, patience,
                                 [&] { return closed_.has_value(); });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::shared_ptr<i_connection> opened_;
    std::vector<message> messages_;
    std::optional<kernel::error> closed_;
};

struct process_under_test
{
    explicit process_under_test(char key_byte)
    {
        options->key.bytes = std::string(cluster_key::min_bytes, key_byte);
        options->identity = std::make_shared<fixed_identity>();
        options->random = std::make_shared<kernel::seeded_random_source>(1);
        options->counters = counters;
        options->observer = observer;
        pool.start();
    }

    std::shared_ptr<wire_counters> counters = std::make_shared<wire_counters>();
    std::shared_ptr<recording_observer> observer =
        std::make_shared<recording_observer>();
    std::shared_ptr<connection_options> options =
        std::make_shared<connection_options>();
    kernel::thread_pool pool{1};
};

using connect_result = kernel::result<std::shared_ptr<i_connection>>;

connect_result connect(process_under_test& from, std::uint16_t port)
{
    std::promise<connect_result> promise;
    auto future = promise.get_future();
    connector(from.options)
        .connect(from.pool.context(0), "127.0.0.1", port,
                 [&promise](connect_result res)
                 { promise.set_value(std::move(res)); });
    return future.get();
}

struct connected_pair
{
    /// `of_server` describes the server if it is given.
    explicit connected_pair(
        std::shared_ptr<i_local_identity const> of_server = {})
        : accepting(server.pool, server.options)
    {
        if (of_server)
            server.options->identity = std::move(of_server);
        auto const port = accepting.listen("127.0.0.1", 0);
        REQUIRE(kernel::ok(port));
        auto res = connect(client, kernel::value(port));
        REQUIRE(kernel::ok(res));
        conn = kernel::value(std::move(res));
    }

    process_under_test server{'k'};
    process_under_test client{'k'};
    acceptor accepting;
    std::shared_ptr<i_connection> conn;
};

} // namespace

// Guards against messages lost or reordered between two processes.
TEST_CASE("connected processes exchange messages in order")
{
    connected_pair pair;
    constexpr std::uint64_t count = 1000;
    for (std::uint64_t n = 0; n < count; ++n)
        pair.conn->send(chunk{1, n, std::string(n, 'x')});

    auto const received = pair.server.observer->wait_for_messages(count + 1);
    REQUIRE(received.size() == count + 1);
    CHECK(std::holds_alternative<heartbeat>(received[0]));
    for (std::uint64_t n = 0; n < count; ++n)
        CHECK(received[n + 1] == message(chunk{1, n, std::string(n, 'x')}));
}

// Guards against frames lost at the ends of the receive buffer: long frames
// arrive in parts, and several short ones at once.
TEST_CASE("long and short frames arrive in any mix")
{
    connected_pair pair;
    std::vector<std::size_t> const sizes{0,    2000,   1,    2048, 100000,
                                         4096, 500000, 2047, 3,    70000};
    for (std::uint64_t n = 0; n < sizes.size(); ++n)
        pair.conn->send(chunk{1, n, std::string(sizes[n], 'x')});

    auto const received =
        pair.server.observer->wait_for_messages(sizes.size() + 1);
    REQUIRE(received.size() == sizes.size() + 1);
    for (std::uint64_t n = 0; n < sizes.size(); ++n)
        CHECK(received[n + 1] ==
              message(chunk{1, n, std::string(sizes[n], 'x')}));
}

// Guards against a process without the cluster key being trusted.
TEST_CASE("a process with another cluster key is refused")
{
    process_under_test server('k');
    process_under_test client('j');
    acceptor accepting(server.pool, server.options);
    auto const port = accepting.listen("127.0.0.1", 0);
    REQUIRE(kernel::ok(port));
    CHECK_FALSE(kernel::ok(connect(client, kernel::value(port))));
    CHECK(server.observer->wait_for_messages(0).empty());
    CHECK(server.counters->connections_opened == 0);
}

namespace
{

/// Forwards bytes between a client and a server and can repeat or change one
/// frame of the client.
class tampering_proxy
{
public:
    enum class tampering
    {
        flip_bit,
        replay
    };

    tampering_proxy(std::uint16_t server_port, tampering kind)
        : kind_(kind)
        , acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
        , client_(context_)
        , server_(context_)
        , server_port_(server_port)
        , thread_([this] { run(); })
    {
    }
    ~tampering_proxy() { thread_.join(); }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    static constexpr std::size_t prefix_size = 12;
    static constexpr std::size_t tag_size = 16;

    void run()
    {
        std::error_code ec;
        acceptor_.accept(client_, ec);
        server_.connect({asio::ip::make_address("127.0.0.1"), server_port_},
                        ec);
        std::thread back([this] { forward_all(server_, client_); });
        // Hello and first heartbeat pass, the third frame does not.
        forward_frame();
        forward_frame();
        auto frame = read_frame();
        if (kind_ == tampering::flip_bit)
            frame[prefix_size + 20] ^= 1U;
        asio::write(server_, asio::buffer(frame), ec);
        if (kind_ == tampering::replay)
            asio::write(server_, asio::buffer(frame), ec);
        forward_all(client_, server_);
        back.join();
    }

    std::vector<std::uint8_t> read_frame()
    {
        std::error_code ec;
        std::vector<std::uint8_t> buf(prefix_size);
        asio::read(client_, asio::buffer(buf), ec);
        std::uint32_t size = 0;
        std::memcpy(&size, buf.data(), sizeof(size));
        buf.resize(prefix_size + size + tag_size);
        asio::read(client_, asio::buffer(buf) + prefix_size, ec);
        return buf;
    }

    void forward_frame()
    {
        std::error_code ec;
        asio::write(server_, asio::buffer(read_frame()), ec);
    }

    static void forward_all(asio::ip::tcp::socket& from,
                            asio::ip::tcp::socket& to)
    {
        std::array<std::uint8_t, 4096> buf{};
        std::error_code ec;
        while (!ec)
        {
            auto const n = from.read_some(asio::buffer(buf), ec);
            if (!ec)
                asio::write(to, asio::buffer(buf, n), ec);
        }
        to.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
        from.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    }

    tampering kind_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket client_;
    asio::ip::tcp::socket server_;
    std::uint16_t server_port_;
    std::thread thread_;
};

} // namespace

// Guards against changed or replayed frames being delivered.
TEST_CASE("changed and replayed frames close the connection")
{
    auto const kind = GENERATE(tampering_proxy::tampering::flip_bit,
                               tampering_proxy::tampering::replay);
    process_under_test server('k');
    process_under_test client('k');
    acceptor accepting(server.pool, server.options);
    auto const port = accepting.listen("127.0.0.1", 0);
    REQUIRE(kernel::ok(port));
    tampering_proxy proxy(kernel::value(port), kind);
    auto const conn = connect(client, proxy.port());
    REQUIRE(kernel::ok(conn));
    kernel::value(conn)->send(chunk{1, 0, std::string(100, 'x')});

    CHECK(server.observer->wait_for_close());
    CHECK(server.counters->frames_rejected == 1);
    std::size_t const delivered =
        kind == tampering_proxy::tampering::replay ? 2 : 1;
    CHECK(server.observer->wait_for_messages(0).size() == delivered);
    kernel::value(conn)->close();
}

// Guards against a change that no peer learns of because it came after the
// hello and before the connection was open: a router refused calls for an
// engine until the next periodic heartbeat, since its models became known in
// that time.
TEST_CASE("a peer learns what has changed during the handshake")
{
    auto const identity = std::make_shared<changing_identity>();
    connected_pair pair(identity);
    REQUIRE(pair.server.observer->wait_for_messages(1).size() == 1);
    auto const received = pair.client.observer->wait_for_messages(2);
    REQUIRE(received.size() == 2);
    CHECK(std::get<heartbeat>(received.back()).config_version ==
          identity->looks());
}

// Guards against a false "not run": an unsent message must be reported so.
TEST_CASE("a message sent on a closed connection is reported as not started")
{
    connected_pair pair;
    pair.conn->close();
    REQUIRE(pair.client.observer->wait_for_close());
    std::promise<write_outcome> outcome;
    pair.conn->send(cancel{1},
                    [&outcome](write_outcome it) { outcome.set_value(it); });
    CHECK(outcome.get_future().get() == write_outcome::not_started);
}

// Guards against peers without a key that hold a connection each, with the
// memory for a frame that they only announce.
TEST_CASE("handshakes that do not end give way to newer ones")
{
    process_under_test server('k');
    // Longer than the test, so that none ends by its time.
    server.options->handshake_timeout = std::chrono::minutes(5);
    constexpr std::size_t most = 20;
    server.options->max_handshakes = most;
    acceptor listener(server.pool, server.options);
    auto const port = kernel::value(listener.listen("127.0.0.1", 0));
    constexpr std::size_t number = 60;
    // Of a frame of 8000 bytes.
    std::vector<std::uint8_t> const begin{0x40, 0x1f, 0, 0, 0, 0, 0,
                                          0,    0,    0, 0, 0, 1};
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::size_t n = 0; n < number; ++n)
    {
        auto& it = sockets.emplace_back(context);
        it.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(it, asio::buffer(begin));
    }
    process_under_test client('k');
    CHECK(kernel::ok(connect(client, port)));
    auto const closed = [](asio::ip::tcp::socket& it)
    {
        std::error_code ec;
        it.non_blocking(true);
        std::uint8_t byte = 0;
        it.read_some(asio::buffer(&byte, 1), ec);
        return ec && ec != asio::error::would_block;
    };
    auto const end = std::chrono::steady_clock::now() + patience;
    std::size_t open = number;
    while (open > most && std::chrono::steady_clock::now() < end)
    {
        open = static_cast<std::size_t>(
            std::count_if(sockets.begin(), sockets.end(),
                          [&](auto& it) { return !closed(it); }));
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CHECK(open <= most);
    listener.stop();
}

} // namespace endiveward::wire
