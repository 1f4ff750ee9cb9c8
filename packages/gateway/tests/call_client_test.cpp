#include "gateway/http/call_client.hpp"
#include "gateway/tests/support/scripted_endpoint.hpp"
#include "kernel/system_clock.hpp"
#include "kernel/tests/support/run_on.hpp"
#include "kernel/thread_pool.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

struct fixture
{
    explicit fixture(std::uint16_t port)
        : pool(1)
        , client(pool.context(0), clock, {"127.0.0.1", port})
    {
        pool.start();
    }

    ~fixture()
    {
        pool.stop();
        pool.discard_handlers();
    }

    std::future<call_client::result> send(milliseconds timeout)
    {
        auto const done = std::make_shared<std::promise<call_client::result>>();
        kernel::tests::run_on(pool.context(0),
                              [&]
                              {
                                  client.send(
                                      "GET", "/", {}, {}, timeout,
                                      [done](call_client::result res)
                                      { done->set_value(std::move(res)); });
                              });
        return done->get_future();
    }

    kernel::system_clock clock;
    kernel::thread_pool pool;
    call_client client;
};

bool answered(std::future<call_client::result>& call)
{
    return std::holds_alternative<call_response>(call.get());
}

} // namespace

// Guards against one timeout after the other: where a connection has died
// without a word, the other open ones often have, too.
TEST_CASE("after a call without an answer the next one uses a new connection")
{
    std::atomic<bool> holding{true};
    std::atomic<bool> silent{false};
    scripted_endpoint peer(
        [&](http_request const& request, scripted_connection& conn)
        {
            while (holding)
                conn.wait(milliseconds(1));
            // Connections that are open now are never answered again.
            if (!silent)
                conn.answer(request, 200, "ok");
            return true;
        });
    fixture f(peer.port());
    auto first = f.send(milliseconds(5000));
    auto second = f.send(milliseconds(5000));
    while (peer.requests() < 2)
        std::this_thread::sleep_for(milliseconds(1));
    holding = false;
    REQUIRE(answered(first));
    REQUIRE(answered(second));
    REQUIRE(peer.connections() == 2);
    silent = true;
    auto third = f.send(milliseconds(100));
    CHECK_FALSE(answered(third));
    silent = false;
    auto fourth = f.send(milliseconds(5000));
    CHECK(answered(fourth));
    CHECK(peer.connections() == 3);
}

// Guards against memory that is filled by a response without end.
TEST_CASE("a call whose response is too long fails")
{
    std::atomic<std::size_t> taken{0};
    scripted_endpoint peer(
        [&](http_request const&, scripted_connection& conn)
        {
            conn.send("HTTP/1.1 200 OK\r\n\r\n");
            taken = conn.send_until_closed(std::string(64U << 10U, 'x'),
                                           128U << 20U);
            return false;
        });
    fixture f(peer.port());
    auto call = f.send(milliseconds(20000));
    CHECK_FALSE(answered(call));
    CHECK(taken < 64U << 20U);
}

} // namespace endiveward::gateway
