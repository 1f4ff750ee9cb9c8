#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

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

// Guards against routers that each keep the limit by themselves.
TEST_CASE("two routers together keep the limit of an endpoint")
{
    scripted_endpoint limited(answer_with_limit);
    test_gateway first;
    test_gateway second;
    for (auto* it : {&first, &second})
    {
        it->apply();
        it->set_endpoints({limited.port()});
    }
    auto const connect = [](test_gateway& from, test_gateway& to)
    {
        from.run(
            [&]
            {
                from.get().set_limit_report_handler(
                    [&to](wire::limit_report report)
                    {
                        to.post([&to, report = std::move(report)]
                                { to.get().on_limit_report(report); });
                    });
            });
    };
    connect(first, second);
    connect(second, first);
    auto const start = std::chrono::steady_clock::now();
    // The endpoint has named its limit to the first router only.
    ask(first, "first");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    int served = 0;
    for (int n = 0; std::chrono::steady_clock::now() - start < window; ++n)
    {
        for (auto* it : {&first, &second})
            served +=
                ask(*it, "id" + std::to_string(n)).starts_with("HTTP/1.1 200");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(limited.requests() <= allowed_in_window);
    CHECK(served >= 3);
    for (auto* it : {&first, &second})
        it->run([it] { it->get().set_limit_report_handler({}); });
}

// Guards against retries that pass the limit by: the first endpoint fails each
// request, which is then sent to the second.
TEST_CASE("retries count against the limit of an endpoint")
{
    scripted_endpoint failing(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 500, "failed");
            return true;
        });
    scripted_endpoint limited(answer_with_limit);
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({failing.port(), limited.port()});
    auto const start = std::chrono::steady_clock::now();
    for (int n = 0; n < 40; ++n)
        ask(gate, "id" + std::to_string(n));
    REQUIRE(std::chrono::steady_clock::now() - start < window);
    CHECK(limited.requests() > 0);
    CHECK(limited.requests() <= allowed_in_window);
}

// Guards against a limit that is read from successful responses only.
TEST_CASE("a limit is read from refusals, errors and heads of streams")
{
    auto const [path, status, extra] =
        GENERATE(table<std::string, int, std::string>(
            {{"/safe/", 503, "X-Not-Run: 1\r\n"},
             {"/safe/", 500, ""},
             {"/safe/", 404, ""},
             {"/once/", 421, "X-Not-Run: 1\r\n"},
             {"/stream/", 200, ""},
             {"/resume/", 200, ""}}));
    scripted_endpoint limited(
        [status = status, extra = extra](http_request const& request,
                                         scripted_connection& conn)
        {
            conn.answer(request, status, "id: 1\ndata: x\n\n",
                        extra + "X-Limit: 0.5\r\n");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({limited.port()});
    ask(gate, "id1", path);
    auto const before = limited.requests();
    auto const refused = ask(gate, "id2", path);
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("Retry-After: ") != std::string::npos);
    CHECK(limited.requests() == before);
}

// Guards against a limit that outlasts what the endpoint says.
TEST_CASE("an endpoint that names no limit any more gets its usual requests")
{
    std::atomic<int> answered{0};
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            conn.answer(request, 200, "ok",
                        answered++ == 0 ? "X-Limit: 5\r\n" : "");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    ask(gate, "id1");
    CHECK(ask(gate, "id2").starts_with("HTTP/1.1 503"));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    for (int n = 0; n < 20; ++n)
        CHECK(
            ask(gate, "next" + std::to_string(n)).starts_with("HTTP/1.1 200"));
}

} // namespace endiveward::gateway
