#include "agent/i_endpoint_observer.hpp"
#include "agent/internal/http_endpoint_client.hpp"
#include "agent/tests/fake_engine.hpp"
#include "agent/types/endpoint_result.hpp"
#include "placement/cache_namespace.hpp"

#include <asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <optional>

namespace endiveward::agent
{

namespace
{

constexpr std::chrono::seconds long_wait{30};

class recording_observer : public i_endpoint_observer
{
public:
    void on_chunk(std::uint64_t, std::string bytes) override
    {
        parts.push_back(std::move(bytes));
    }
    void on_end(std::uint64_t, endpoint_result const& it) override
    {
        CHECK_FALSE(end);
        end = it;
    }
    std::string text() const
    {
        std::string all;
        for (auto const& it : parts)
            all += it;
        return all;
    }

    std::vector<std::string> parts;
    std::optional<endpoint_result> end;
};

struct client_under_test
{
    explicit client_under_test(std::string const& url)
        : client(context, url)
    {
    }
    /// Runs handlers until the condition holds.
    void run_until(std::function<bool()> const& condition)
    {
        auto const limit = std::chrono::steady_clock::now() + long_wait;
        while (!condition() && std::chrono::steady_clock::now() < limit)
            context.run_one_for(long_wait);
        REQUIRE(condition());
    }
    void run_to_end()
    {
        run_until([this] { return observer.end.has_value(); });
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard{
        context.get_executor()};
    recording_observer observer;
    http_endpoint_client client;
};

endpoint_request make_stream_call()
{
    endpoint_request it;
    it.method = "POST";
    it.path = "/v1/completions";
    it.body = "{}";
    it.streaming = true;
    it.stream_id = "abcd";
    it.model_version = "v1";
    return it;
}

std::string event(int n)
{
    auto const number = std::to_string(n);
    return "id: " + number + "\ndata: {\"n\":" + number + "}\n\n";
}

std::string part(int n)
{
    return "data: {\"n\":" + std::to_string(n) + "}\n\n";
}

std::string const usage_event =
    "id: 2\ndata: {\"usage\":{\"prompt_tokens\":10,"
    "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n";

} // namespace

// Guards against answers that are only passed on at their end.
TEST_CASE("events are passed on as they arrive")
{
    fake_engine engine({{stream_head("v1", "7") + event(0) + event(1),
                         usage_event + "data: [DONE]\n\n"}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_call(), test.observer);
    test.run_until([&] { return test.observer.parts.size() == 2; });
    CHECK_FALSE(test.observer.end);
    engine.release();
    test.run_to_end();
    CHECK_FALSE(test.observer.end->failure);
    CHECK(test.observer.parts.size() == 3);
    CHECK(test.observer.text().starts_with(part(0) + part(1)));
    CHECK(test.observer.end->prompt_bytes == 40);
    CHECK(test.observer.end->cached_bytes == 16);
    auto const request = engine.requests().at(0);
    CHECK(request.find("X-Stream-Id: abcd") != std::string::npos);
    CHECK(request.find("X-Model-Version: v1") != std::string::npos);
}

// Guards against events that are lost, repeated or reordered when the engine's
// connection breaks.
TEST_CASE("a broken stream is resumed at the engine")
{
    fake_engine engine(
        {{stream_head("v1", "7") + event(0) + event(1) + "id: 2"},
         {stream_head("v1", "7") + event(1) + event(2) + event(3) +
          "data: [DONE]\n\n"}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_call(), test.observer);
    test.run_to_end();
    CHECK_FALSE(test.observer.end->failure);
    CHECK(test.observer.text() == part(0) + part(1) + part(2) + part(3));
    CHECK(engine.requests().at(1).starts_with("GET /v1/streams/abcd?from=2 "));
}

// Guards against a gap that is taken for a complete answer.
TEST_CASE("a missing event is read again")
{
    fake_engine engine(
        {{stream_head("v1", "7") + event(0) + event(2) + "data: [DONE]\n\n"},
         {stream_head("v1", "7") + event(1) + event(2) + "data: [DONE]\n\n"}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_call(), test.observer);
    test.run_to_end();
    CHECK_FALSE(test.observer.end->failure);
    CHECK(test.observer.text() == part(0) + part(1) + part(2));
}

// Guards against a truncated stream that is presented as complete.
TEST_CASE("a stream that cannot be resumed ends as unknown")
{
    auto const lost =
        GENERATE(plain_answer("404 Not Found", "{}"),
                 stream_head("v1", "8") + event(1) + "data: [DONE]\n\n");
    fake_engine engine({{stream_head("v1", "7") + event(0)}, {lost}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_call(), test.observer);
    test.run_to_end();
    REQUIRE(test.observer.end->failure);
    CHECK(test.observer.end->failure->kind ==
          kernel::error_kind::stream_interrupted);
    CHECK(test.observer.end->failure->run == kernel::run_state::unknown);
    CHECK(test.observer.text() == part(0));
}

// Guards against an endless loop with an engine that is gone.
TEST_CASE("resuming ends after a limited number of attempts")
{
    fake_engine engine({{stream_head("v1", "7") + event(0)}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_call(), test.observer);
    test.run_to_end();
    REQUIRE(test.observer.end->failure);
    CHECK(test.observer.end->failure->run == kernel::run_state::unknown);
    CHECK(engine.requests().size() == 7);
}

// Guards against output of other weights, and against work that goes on.
TEST_CASE("an answer of another weights version is not passed on")
{
    fake_engine engine(
        {{stream_head("v2", "7") + event(0) + "data: [DONE]\n\n"},
         {plain_answer("200 OK", "{}")}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_call(), test.observer);
    test.run_to_end();
    REQUIRE(test.observer.end->failure);
    CHECK(test.observer.end->failure->run == kernel::run_state::unknown);
    CHECK(test.observer.parts.empty());
    REQUIRE(engine.wait_for_requests(2));
    CHECK(engine.requests()[1].starts_with("DELETE /v1/streams/abcd "));
}

// Guards against "unknown" for a call that certainly did not run.
TEST_CASE("a refused connection means not run")
{
    std::string url;
    {
        fake_engine const engine({});
        url = engine.url();
    }
    client_under_test test(url);
    test.client.start(1, make_stream_call(), test.observer);
    test.run_to_end();
    REQUIRE(test.observer.end->failure);
    CHECK(test.observer.end->failure->run == kernel::run_state::not_run);
}

// Guards against "not run" and against a second run when the endpoint closes
// the connection without an answer.
TEST_CASE("a request without an answer is unknown and is sent once")
{
    fake_engine engine({{""}, {plain_answer("200 OK", "{}")}});
    client_under_test test(engine.url());
    endpoint_request request;
    request.target = wire::target_kind::service;
    request.method = "GET";
    request.path = "/gate";
    test.client.start(1, request, test.observer);
    test.run_to_end();
    REQUIRE(test.observer.end->failure);
    CHECK(test.observer.end->failure->kind ==
          kernel::error_kind::outcome_unknown);
    CHECK(test.observer.end->failure->run == kernel::run_state::unknown);
    CHECK(engine.requests().size() == 1);
}

// Guards against a cut body that is presented as complete.
TEST_CASE("an incomplete body is a failure")
{
    auto const cut = GENERATE(
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "5\r\nshort\r\n"),
        std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nshort"));
    fake_engine engine({{cut}});
    client_under_test test(engine.url());
    endpoint_request request;
    request.target = wire::target_kind::service;
    request.method = "POST";
    request.path = "/gate";
    test.client.start(1, request, test.observer);
    test.run_to_end();
    REQUIRE(test.observer.end->failure);
    CHECK(test.observer.end->failure->run == kernel::run_state::unknown);
}

// Guards against errors of an engine that are hidden or retried by the agent.
TEST_CASE("an error answer of the endpoint is a complete answer")
{
    fake_engine engine({{plain_answer("400 Bad Request", "{\"error\":1}")}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_call(), test.observer);
    test.run_to_end();
    CHECK_FALSE(test.observer.end->failure);
    CHECK(test.observer.end->http_status == 400);
    CHECK(test.observer.text() == "{\"error\":1}");
    CHECK(engine.requests().size() == 1);
}

// Guards against unbounded memory while the caller does not read.
TEST_CASE("a paused answer is not read further than the window")
{
    std::string const body(4U << 20U, 'x');
    fake_engine engine({{plain_answer("200 OK", body)}});
    client_under_test test(engine.url());
    endpoint_request request;
    request.target = wire::target_kind::service;
    request.method = "GET";
    request.path = "/large";
    test.client.start(1, request, test.observer);
    test.client.pause(1);
    test.run_until(
        [&] {
            return test.observer.text().size() >= http_transport::window_bytes;
        });
    test.context.run_for(std::chrono::milliseconds(50));
    // One read of libcurl may exceed the window.
    CHECK(test.observer.text().size() <= 2 * http_transport::window_bytes);
    CHECK_FALSE(test.observer.end);
    test.client.resume(1);
    test.run_to_end();
    CHECK(test.observer.text() == body);
}

// Guards against reports and events that are misread.
TEST_CASE("load, listing, events and orders follow the protocol")
{
    std::string const block = "00000000000000010000000000000002";
    fake_engine engine(
        {{plain_answer("200 OK", R"({"incarnation":7,"running":1,"waiting":2,)"
                                 R"("capacity":4,"models":[{"model":"m",)"
                                 R"("version":"v1"}]})")},
         {plain_answer("200 OK", R"({"incarnation":7,"last_event":5,)"
                                 R"("blocks":[")" +
                                     block + "\"]}")},
         {plain_answer("200 OK", R"({"incarnation":7,"events":[)"
                                 R"({"number":6,"kind":"evicted","block":")" +
                                     block + "\"}]}")},
         {plain_answer("409 Conflict", "{}")},
         {plain_answer("200 OK", "{\"incarnation\":\"x\"}")}});
    client_under_test test(engine.url());
    int answers = 0;
    test.client.load(
        [&](kernel::result<engine_load> const& res)
        {
            REQUIRE(kernel::ok(res));
            CHECK(kernel::value(res).capacity == 4);
            CHECK(kernel::value(res).models.at(0).version.str() == "v1");
            ++answers;
        });
    test.run_until([&] { return answers == 1; });
    test.client.list_blocks(
        [&](kernel::result<cache_listing> const& res)
        {
            REQUIRE(kernel::ok(res));
            CHECK(kernel::value(res).last_event == 5);
            CHECK(kernel::value(res).blocks.at(0) == kernel::hash128{1, 2});
            ++answers;
        });
    test.run_until([&] { return answers == 2; });
    test.client.events(
        5, std::chrono::seconds(1),
        [&](kernel::result<std::vector<admission::cache_event>> const& res)
        {
            REQUIRE(kernel::ok(res));
            CHECK(kernel::value(res).at(0).number == 6);
            CHECK(kernel::value(res).at(0).kind ==
                  admission::cache_event_kind::evicted);
            ++answers;
        });
    test.run_until([&] { return answers == 3; });
    test.client.order({"load", "m", "v2", "", 9},
                      [&](kernel::result<kernel::done> const& res)
                      {
                          REQUIRE_FALSE(kernel::ok(res));
                          CHECK(kernel::failure(res).kind ==
                                kernel::error_kind::conflict);
                          ++answers;
                      });
    test.run_until([&] { return answers == 4; });
    CHECK(engine.requests().at(2).starts_with(
        "GET /v1/cache/events?after=5&wait_ms=1000 "));
    CHECK(engine.requests().at(3).find("\"fencing_number\":9") !=
          std::string::npos);
    test.client.load(
        [&](kernel::result<engine_load> const& res)
        {
            CHECK_FALSE(kernel::ok(res));
            ++answers;
        });
    test.run_until([&] { return answers == 5; });
}

} // namespace endiveward::agent
