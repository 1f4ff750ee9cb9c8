#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/silent_writer.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace endiveward::gateway
{

namespace
{

/// Ends a request with the body `bad` like an endpoint that crashes when it
/// begins to run it.
bool crash_or_answer(http_request const& request, scripted_connection& conn)
{
    if (request.body == "bad")
    {
        conn.reset();
        return false;
    }
    conn.answer(request, 200, "ok");
    return true;
}

/// A service of four endpoints, of which two are left when the others have
/// crashed.
struct crashing_service
{
    int requests() const
    {
        int res = 0;
        for (auto const& it : endpoints)
            res += it.requests();
        return res;
    }

    void use_for(test_gateway& gate) const
    {
        gate.apply();
        gate.set_endpoints({endpoints[0].port(), endpoints[1].port(),
                            endpoints[2].port(), endpoints[3].port()});
    }

    std::array<scripted_endpoint, 4> endpoints{
        scripted_endpoint(crash_or_answer), scripted_endpoint(crash_or_answer),
        scripted_endpoint(crash_or_answer), scripted_endpoint(crash_or_answer)};
};

std::string ask(test_gateway& gate, std::string const& path,
                std::string const& id, std::string const& body,
                std::string const& key = "key1")
{
    test_caller caller(gate.port());
    caller.send("POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id +
                "\r\nX-Time: 3000\r\nX-Key: " + key + "\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    return caller.read_until("\r\n\r\n");
}

/// What another router knows of a request to this path that has crashed two
/// endpoints, after the quarantine has ended. The next request is a trial.
wire::part_report past_quarantine(std::string const& path)
{
    crashing_service service;
    test_gateway gate;
    std::promise<wire::part_report> reported;
    gate.run(
        [&]
        {
            gate.get().set_part_report_handler(
                [&](wire::part_report report)
                {
                    if (!report.crashes.empty())
                        reported.set_value(std::move(report));
                });
        });
    service.use_for(gate);
    ask(gate, path, "id0", "bad");
    auto res = reported.get_future().get();
    for (auto& it : res.crashes)
        it.age = std::chrono::seconds(40);
    res.tried_parts.clear();
    return res;
}

} // namespace

// Guards against a request without prompt parts that crashes one endpoint after
// the other: each time it comes it is sent to two of them.
TEST_CASE("a request that has crashed two endpoints is not sent again")
{
    crashing_service service;
    test_gateway gate;
    service.use_for(gate);
    CHECK(ask(gate, "/safe/a", "id1", "bad").starts_with("HTTP/1.1 502"));
    REQUIRE(service.requests() == 2);
    auto const refused = ask(gate, "/safe/a", "id2", "bad");
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("Retry-After: ") != std::string::npos);
    CHECK(service.requests() == 2);
    // Other requests of the same caller and path.
    CHECK(ask(gate, "/safe/a", "id3", "good").starts_with("HTTP/1.1 200"));
    CHECK(ask(gate, "/safe/b", "id4", "good").starts_with("HTTP/1.1 200"));
}

// The same for requests that are sent once each time they come.
TEST_CASE("a request that runs at most once is not sent after two crashes")
{
    crashing_service service;
    test_gateway gate;
    service.use_for(gate);
    CHECK(ask(gate, "/once/a", "id1", "bad").starts_with("HTTP/1.1 502"));
    CHECK(ask(gate, "/once/a", "id2", "bad").starts_with("HTTP/1.1 502"));
    CHECK(ask(gate, "/once/a", "id3", "bad").starts_with("HTTP/1.1 503"));
    CHECK(service.requests() == 2);
    CHECK(ask(gate, "/once/a", "id4", "good").starts_with("HTTP/1.1 200"));
}

// Guards against a second endpoint that is lost: the first one is silent until
// it crashes, after the request was given up there.
TEST_CASE("a request given up at an endpoint that then crashes is suspected")
{
    std::atomic<bool> crash{false};
    auto const hold_until_crash =
        [&](http_request const& request, scripted_connection& conn)
    {
        if (request.body != "bad")
        {
            conn.answer(request, 200, "ok");
            return true;
        }
        while (!crash)
            conn.wait(std::chrono::milliseconds(1));
        conn.reset();
        return false;
    };
    scripted_endpoint first(hold_until_crash);
    scripted_endpoint second(hold_until_crash);
    test_gateway gate;
    gate.apply(1, std::chrono::seconds(5), {}, std::chrono::milliseconds(100));
    gate.set_endpoints({first.port(), second.port()});
    test_caller caller(gate.port());
    caller.send("POST /safe/a HTTP/1.1\r\nHost: h\r\nX-Id: id1\r\nX-Time: "
                "400\r\nX-Key: key1\r\nContent-Length: 3\r\n\r\nbad");
    while (first.requests() + second.requests() < 2)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    crash = true;
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 50"));
    CHECK(first.requests() + second.requests() == 2);
}

// Guards against a sound request that is refused for minutes since the caller
// of its trial has left: the endpoint serves others, so that it has not
// crashed.
TEST_CASE("a trial whose caller leaves is no crash of an endpoint that serves "
          "on")
{
    auto const report = past_quarantine("/safe/a");
    REQUIRE(report.crashes.size() == 2);
    std::atomic<int> tried{0};
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            if (request.body == "bad" && ++tried == 1)
                conn.wait(std::chrono::milliseconds(400));
            conn.answer(request, 200, "ok");
            return true;
        });
    test_gateway gate;
    gate.apply(1, std::chrono::seconds(5), {}, std::chrono::seconds(2));
    // Not one of those that have crashed.
    gate.set_entries({test_gateway::entry(7, endpoint.port())});
    gate.run([&] { gate.get().on_part_report(report); });
    {
        test_caller caller(gate.port());
        caller.send("POST /safe/a HTTP/1.1\r\nHost: h\r\nX-Id: id1\r\nX-Time: "
                    "3000\r\nX-Key: key1\r\nContent-Length: 3\r\n\r\nbad");
        while (tried == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        CHECK(ask(gate, "/safe/b", "id2", "good").starts_with("HTTP/1.1 200"));
    }
    // Others wait for the time of the trial, not for another quarantine.
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    auto served = false;
    for (int n = 0; !served && std::chrono::steady_clock::now() < end; ++n)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        served = ask(gate, "/safe/a", "id3-" + std::to_string(n), "bad")
                     .starts_with("HTTP/1.1 200");
    }
    CHECK(served);
}

// Guards against a trial that is refused although it has not run and another
// endpoint can take it.
TEST_CASE("a trial that finds no connection goes to another endpoint")
{
    auto const report = past_quarantine("/safe/a");
    std::uint16_t unused = 0;
    {
        scripted_endpoint closed(crash_or_answer);
        unused = closed.port();
    }
    scripted_endpoint sound(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 200, "ok");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({unused, sound.port()});
    gate.run([&] { gate.get().on_part_report(report); });
    CHECK(ask(gate, "/safe/a", "id1", "bad").starts_with("HTTP/1.1 200"));
}

// Guards against one more endpoint that is lost: another router reports a new
// crash under the request while its trial looks for a connection.
TEST_CASE("a trial that finds no connection is not sent on after a new crash")
{
    auto const report = past_quarantine("/safe/a");
    auto newest = report;
    newest.crashes.resize(1);
    newest.crashes[0].crash += 1;
    newest.crashes[0].age = std::chrono::milliseconds(0);
    std::uint16_t unused = 0;
    {
        scripted_endpoint closed(crash_or_answer);
        unused = closed.port();
    }
    scripted_endpoint other(crash_or_answer);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({unused, other.port()});
    gate.run([&] { gate.get().on_part_report(report); });
    silent_writer writer;
    std::shared_ptr<i_exchange> running;
    gate.run(
        [&]
        {
            http_request request;
            request.method = "POST";
            request.target = "/safe/a";
            request.headers.add("Host", "h");
            request.headers.add("X-Id", "id1");
            request.headers.add("X-Time", "3000");
            request.headers.add("X-Key", "key1");
            request.body = "bad";
            running = gate.get().handle(std::move(request), writer);
            gate.get().on_part_report(newest);
        });
    writer.ended.get_future().wait_for(std::chrono::seconds(20));
    CHECK(writer.status == 503);
    CHECK(other.requests() == 0);
    gate.run([&] { running = nullptr; });
}

} // namespace endiveward::gateway
