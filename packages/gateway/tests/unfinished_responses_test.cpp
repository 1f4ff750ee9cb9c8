#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <list>
#include <string>
#include <thread>

namespace endiveward::gateway
{

namespace
{

constexpr std::size_t requests = 150;
/// Of an event that does not end, below the limit of one event.
constexpr std::size_t long_bytes = 1000U << 10U;
constexpr std::size_t short_bytes = 80U << 10U;
/// Of all events that have not ended.
constexpr std::size_t max_bytes = 20U << 20U;

/// Sends the begin of a response to each request and then nothing more.
struct stalling_endpoint
{
    std::string extra;
    std::string body;
    std::atomic<bool> stopped{false};
    scripted_endpoint endpoint{
        [this](http_request const& request, scripted_connection& conn)
        {
            conn.send("HTTP/1.1 200 OK\r\nX-Id: " +
                      std::string(request.headers.value_or("X-Id", "")) +
                      "\r\nX-Signature: sig\r\n" + extra + "\r\n" + body);
            while (!stopped)
                conn.wait(std::chrono::milliseconds(5));
            return false;
        }};

    ~stalling_endpoint() { stopped = true; }
};

struct many_requests
{
    explicit many_requests(std::uint16_t endpoint,
                           std::size_t number = requests)
    {
        gate.apply(1, std::chrono::seconds(60));
        gate.set_endpoints({endpoint});
        for (std::size_t n = 0; n < number; ++n)
        {
            callers.emplace_back(gate.port());
            callers.back().send("GET /stream/ HTTP/1.1\r\nHost: h\r\nX-Id: id" +
                                std::to_string(n) +
                                "\r\nX-Time: 60000\r\nX-Key: key1\r\n\r\n");
        }
    }

    /// Number of callers that are told that their answer has failed, as soon
    /// as it is this one, or after the time.
    std::size_t wait_for_failures(std::size_t expected,
                                  std::chrono::milliseconds limit)
    {
        auto const end = std::chrono::steady_clock::now() + limit;
        std::size_t n = 0;
        while (n < expected && std::chrono::steady_clock::now() < end)
        {
            n = 0;
            for (auto& it : callers)
                n += it.read_until("\r\n\r\n", std::chrono::milliseconds(1))
                         .starts_with("HTTP/1.1 502");
        }
        return n;
    }

    test_gateway gate;
    std::list<test_caller> callers;
};

} // namespace

// Guards against memory that is filled by many answers of a faulty endpoint, of
// which none is too long.
TEST_CASE("events that do not end take a limited amount of memory together")
{
    stalling_endpoint faulty;
    faulty.body = "id: 1\ndata: " + std::string(long_bytes, 'x');
    many_requests it(faulty.endpoint.port());
    constexpr auto expected = requests - max_bytes / long_bytes;
    CHECK(it.wait_for_failures(expected, std::chrono::seconds(20)) >= expected);
    faulty.stopped = true;
}

// Guards against a limit that sound endpoints reach.
TEST_CASE("events of the usual size are never given up for their memory")
{
    stalling_endpoint sound;
    sound.body = "id: 1\ndata: " + std::string(short_bytes, 'x');
    many_requests it(sound.endpoint.port());
    CHECK(it.wait_for_failures(1, std::chrono::seconds(1)) == 0);
    sound.stopped = true;
}

// Guards against memory that is filled by endless events, each of which is
// whole, for callers that do not read.
TEST_CASE("events that wait for slow callers take a limited amount of memory")
{
    std::atomic<std::size_t> closed{0};
    scripted_endpoint faulty(
        [&](http_request const& request, scripted_connection& conn)
        {
            conn.begin_stream(request);
            auto const event = "data: " + std::string(long_bytes, 'x') + "\n\n";
            // More than the buffers of the sockets on the way hold.
            for (int n = 0; n < 64; ++n)
            {
                conn.chunk(event);
                if (conn.is_broken())
                    break;
            }
            ++closed;
            return false;
        });
    many_requests it(faulty.port());
    constexpr auto expected = requests - max_bytes / long_bytes;
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (closed < expected && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    CHECK(closed >= expected);
    it.callers.clear();
}

// Guards against a limit that slow callers of sound endpoints reach together.
TEST_CASE("streams of the usual events are never given up for slow callers")
{
    constexpr std::size_t number = 300;
    std::atomic<std::size_t> begun{0};
    std::atomic<std::size_t> broken{0};
    std::atomic<bool> stopped{false};
    scripted_endpoint sound(
        [&](http_request const& request, scripted_connection& conn)
        {
            conn.begin_stream(request);
            ++begun;
            auto const event = "data: " + std::string(4096, 'x') + "\n\n";
            for (int n = 0; n < 5000 && !conn.is_broken() && !stopped; ++n)
                conn.chunk(event);
            if (!stopped)
                ++broken;
            return false;
        });
    many_requests it(sound.port(), number);
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (begun < number && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    REQUIRE(begun == number);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    CHECK(broken == 0);
    stopped = true;
    it.callers.clear();
}

// Guards against a limit that stays reached after the faulty answers have
// ended.
TEST_CASE("memory of events that were given up can be used again")
{
    stalling_endpoint faulty;
    faulty.body = "id: 1\ndata: " + std::string(long_bytes, 'x');
    many_requests it(faulty.endpoint.port());
    constexpr auto expected = requests - max_bytes / long_bytes;
    REQUIRE(it.wait_for_failures(expected, std::chrono::seconds(20)) >=
            expected);
    it.callers.clear();
    faulty.stopped = true;
    scripted_endpoint sound(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.begin_stream(request);
            conn.chunk("id: 1\ndata: " + std::string(long_bytes, 'x') + "\n\n");
            conn.end_stream();
            return true;
        });
    it.gate.set_endpoints({sound.port()});
    test_caller caller(it.gate.port());
    caller.send(get_request("/stream/", "id1", "Connection: close\r\n"));
    CHECK(caller.read_all().ends_with("\r\n0\r\n\r\n"));
}

} // namespace endiveward::gateway
