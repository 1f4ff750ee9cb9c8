#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

namespace endiveward::gateway
{

namespace
{

/// What an endpoint that takes one request a second may get in 4 s: half as
/// much again, and 5 requests.
constexpr int allowed_in_window = 11;
constexpr std::chrono::seconds window{4};

std::string ask(test_gateway& gate, std::string const& id,
                std::string const& path = "/safe/")
{
    test_caller caller(gate.port());
    caller.send(get_request(path, id));
    return caller.read_until("\r\n\r\n");
}

bool answer_with_limit(http_request const& request, scripted_connection& conn)
{
    conn.answer(request, 200, "ok", "X-Limit: 1\r\n");
    return true;
}

} // namespace

// Guards against an endpoint in need that gets requests at the usual rate.
TEST_CASE("an endpoint gets no more requests than the limit that it names")
{
    scripted_endpoint limited(answer_with_limit);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({limited.port()});
    constexpr int sent = 40;
    auto const start = std::chrono::steady_clock::now();
    std::string last;
    for (int n = 0; n < sent; ++n)
        last = ask(gate, "id" + std::to_string(n));
    REQUIRE(std::chrono::steady_clock::now() - start < window);
    CHECK(limited.requests() <= allowed_in_window);
    CHECK(last.starts_with("HTTP/1.1 503"));
    CHECK(last.find("Retry-After: ") != std::string::npos);
}

// Guards against requests that are refused although another endpoint can take
// them.
TEST_CASE("requests beyond the limit of one endpoint go to another")
{
    scripted_endpoint limited(answer_with_limit);
    scripted_endpoint other(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 200, "ok");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({limited.port(), other.port()});
    constexpr int sent = 60;
    auto const start = std::chrono::steady_clock::now();
    int served = 0;
    for (int n = 0; n < sent; ++n)
        served +=
            ask(gate, "id" + std::to_string(n)).starts_with("HTTP/1.1 200");
    REQUIRE(std::chrono::steady_clock::now() - start < window);
    CHECK(limited.requests() <= allowed_in_window);
    CHECK(served == sent);
}

} // namespace endiveward::gateway
