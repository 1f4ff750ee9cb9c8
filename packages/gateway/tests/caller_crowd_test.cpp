#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <list>
#include <string>

namespace endiveward::gateway
{

namespace
{

constexpr std::size_t body_bytes = 256U << 10U;

bool answer_ok(http_request const& request, scripted_connection& conn)
{
    conn.answer(request, 200, "ok");
    return true;
}

/// A gateway with a sound endpoint.
struct crowded_gateway
{
    explicit crowded_gateway(gateway_settings const& limits,
                             caller_limits const& sizes = {})
    {
        gate.set_caller_limits(sizes);
        gate.apply();
        gate.set_endpoints({endpoint.port()});
        gate.run([&] { gate.get().set_settings(limits); });
    }

    bool serves(test_caller& caller)
    {
        caller.clear();
        caller.send(get_request("/once/", "id"));
        return caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200");
    }

    scripted_endpoint endpoint{answer_ok};
    test_gateway gate;
};

gateway_settings few_connections()
{
    gateway_settings res;
    res.processes = 1;
    res.max_caller_connections = 16;
    return res;
}

gateway_settings little_memory()
{
    gateway_settings res;
    res.processes = 1;
    res.buffer_memory_bytes = 8 * body_bytes;
    return res;
}

std::string upload(std::string const& id, std::size_t length)
{
    return "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: " + id +
           "\r\nX-Time: 3000\r\nX-Key: key1\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
}

} // namespace

// Guards against callers that connect, send nothing and take all places.
TEST_CASE("connections on which nothing happens give their places to callers")
{
    crowded_gateway it(few_connections());
    test_caller kept(it.gate.port());
    REQUIRE(it.serves(kept));
    std::list<test_caller> crowd;
    for (int n = 0; n < 60; ++n)
        crowd.emplace_back(it.gate.port());
    test_caller caller(it.gate.port());
    CHECK(it.serves(caller));
    // Callers whose connections were used before keep them for longer.
    CHECK(it.serves(kept));
    it.gate.run([&] { CHECK(it.gate.get().connections() <= 18); });
}

// Guards against a refusal that is no promise, or that is lost since its caller
// still sends.
TEST_CASE("a caller that holds much without progress is told to come back")
{
    caller_limits sizes;
    sizes.body_bytes = body_bytes;
    crowded_gateway it(little_memory(), sizes);
    std::list<test_caller> crowd;
    for (int n = 0; n < 20; ++n)
    {
        auto& caller = crowd.emplace_back(it.gate.port());
        caller.send(upload("id" + std::to_string(n), body_bytes) +
                    std::string(body_bytes - 1, 'x'));
    }
    test_caller caller(it.gate.port());
    CHECK(it.serves(caller));
    unsigned refused = 0;
    unsigned served = 0;
    for (auto& each : crowd)
    {
        auto text = each.read_until("\n\r\noverloaded\n",
                                    std::chrono::milliseconds(50));
        if (text.empty())
        {
            // Those that were not refused are served when they end.
            each.send("x");
            text = each.read_until("\r\n\r\nok");
            served += text.starts_with("HTTP/1.1 200") ? 1 : 0;
            continue;
        }
        ++refused;
        CHECK(text.starts_with("HTTP/1.1 503 "));
        CHECK(text.find("Retry-After: ") != std::string::npos);
        CHECK(text.find("Connection: close\r\n") != std::string::npos);
    }
    CHECK(refused > 0);
    CHECK(served == crowd.size() - refused);
    CHECK(it.endpoint.requests() == static_cast<int>(served) + 1);
}

// Guards against requests that are lost because they were sent ahead of others.
TEST_CASE("all requests that were sent far ahead are served in turn")
{
    crowded_gateway it(little_memory());
    test_caller caller(it.gate.port());
    constexpr int number = 200;
    std::string text;
    for (int n = 0; n < number; ++n)
        text += get_request("/once/", "id" + std::to_string(n),
                            "X-Other: " + std::string(300, 'x') + "\r\n");
    caller.send(text + get_request("/once/", "last", "Connection: close\r\n"));
    auto const answers = caller.read_all();
    for (int n = 0; n < number; ++n)
        REQUIRE(answers.find("X-Id: id" + std::to_string(n) + "\r\n") !=
                std::string::npos);
    CHECK(answers.find("X-Id: last\r\n") != std::string::npos);
    CHECK(it.endpoint.requests() == number + 1);
}

// Guards against a request that holds its place for as long as its caller sends
// a byte now and then, and against an end that promises nothing.
TEST_CASE("a body that does not end in time is refused as not run")
{
    caller_limits sizes;
    sizes.idle_timeout = std::chrono::milliseconds(600);
    crowded_gateway it(little_memory(), sizes);
    test_caller caller(it.gate.port());
    caller.send(upload("id", 1000));
    std::string text;
    for (int n = 0; n < 200 && text.empty(); ++n)
    {
        caller.send("x");
        text = caller.read_until("\r\n\r\n", std::chrono::milliseconds(20));
    }
    CHECK(text.starts_with("HTTP/1.1 408 "));
    CHECK(it.endpoint.requests() == 0);
}

// Guards against a limit below the largest request that operators allow.
TEST_CASE("a request of the largest size is served in calm")
{
    caller_limits sizes;
    sizes.body_bytes = 6U << 20U;
    crowded_gateway it(little_memory(), sizes);
    test_caller caller(it.gate.port());
    caller.send(upload("id", sizes.body_bytes) +
                std::string(sizes.body_bytes, 'x'));
    CHECK(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200"));
}

} // namespace endiveward::gateway
