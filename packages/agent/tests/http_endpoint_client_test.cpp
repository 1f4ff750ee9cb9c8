#include "agent/i_endpoint_observer.hpp"
#include "agent/internal/http_endpoint_client.hpp"
#include "agent/tests/fake_engine.hpp"
#include "agent/types/endpoint_notices.hpp"
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

constexpr std::chrono::seconds test_timeout{30};

class recording_observer : public i_endpoint_observer
{
public:
    void on_chunk(std::uint64_t, std::string bytes) override
    {
        chunks.push_back(std::move(bytes));
    }
    void on_notices(std::uint64_t, endpoint_notices const& it) override
    {
        notices.push_back(it);
    }
    void on_end(std::uint64_t, endpoint_result const& it) override
    {
        CHECK_FALSE(end);
        end = it;
    }
    std::string text() const
    {
        std::string all;
        for (auto const& it : chunks)
            all += it;
        return all;
    }

    std::vector<std::string> chunks;
    std::vector<endpoint_notices> notices;
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
        auto const limit = std::chrono::steady_clock::now() + test_timeout;
        while (!condition() && std::chrono::steady_clock::now() < limit)
            context.run_one_for(test_timeout);
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

endpoint_request make_stream_request()
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

std::string relayed_event(int n)
{
    return "data: {\"n\":" + std::to_string(n) + "}\n\n";
}

std::string const usage_event =
    "id: 2\ndata: {\"usage\":{\"prompt_tokens\":10,"
    "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n";

} // namespace

// Guards against streamed responses that are buffered until their end.
TEST_CASE("events are relayed as they arrive")
{
    fake_engine engine({{stream_response_head("v1", "7") + event(0) + event(1),
                         usage_event + "data: [DONE]\n\n"}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_request(), test.observer);
    test.run_until([&] { return test.observer.chunks.size() == 2; });
    CHECK_FALSE(test.observer.end);
    engine.release();
    test.run_to_end();
    CHECK_FALSE(test.observer.end->failure);
    CHECK(test.observer.chunks.size() == 3);
    CHECK(
        test.observer.text().starts_with(relayed_event(0) + relayed_event(1)));
    CHECK(test.observer.end->prompt_bytes == 40);
    CHECK(test.observer.end->cached_bytes == 16);
    auto const request = engine.requests().at(0);
    CHECK(request.find("X-Stream-Id: abcd") != std::string::npos);
    CHECK(request.find("X-Model-Version: v1") != std::string::npos);
}

// Guards against a limit, an exit or a pause that is read from some responses
// only.
TEST_CASE("what an endpoint says about itself is read from each response")
{
    auto const status =
        GENERATE(std::string("200 OK"), std::string("503 Unavailable"));
    fake_engine engine(
        {{json_response(status, "{}",
                        "X-Request-Limit: 1.5\r\nX-Leaving: 1\r\n"
                        "Retry-After: 1.5\r\nX-Model-Version: v1\r\n")}});
    client_under_test test(engine.url());
    auto request = make_stream_request();
    request.streaming = false;
    test.client.start(1, request, test.observer);
    test.run_to_end();
    REQUIRE(test.observer.notices.size() == 1);
    auto const& seen = test.observer.notices[0];
    CHECK(seen.limit ==
          availability::limit_notice(availability::named_limit{1.5}));
    CHECK(seen.leaving == availability::leaving_notice::leaving);
    // Only a refusal asks for a pause.
    auto const is_refusal = status.starts_with("503");
    CHECK(seen.pause ==
          (is_refusal ? availability::retry_after(availability::requested_pause{
                            std::chrono::milliseconds(1500), false})
                      : availability::retry_after(availability::no_pause())));
}

// Guards against events that are lost, repeated or reordered when the engine's
// connection breaks.
TEST_CASE("a broken stream is resumed at the engine")
{
    fake_engine engine(
        {{stream_response_head("v1", "7") + event(0) + event(1) + "id: 2"},
         {stream_response_head("v1", "7") + event(1) + event(2) + event(3) +
          "data: [DONE]\n\n"}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_request(), test.observer);
    test.run_to_end();
    CHECK_FALSE(test.observer.end->failure);
    CHECK(test.observer.text() == relayed_event(0) + relayed_event(1) +
                                      relayed_event(2) + relayed_event(3));
    CHECK(engine.requests().at(1).starts_with("GET /v1/streams/abcd?from=2 "));
}

// Guards against a copy of an earlier answer, of any status, on a connection
// that is used again: it would end the stream or put other events into it.
TEST_CASE("a stream is not resumed by an answer to an earlier call")
{
    auto const copy =
        GENERATE(std::string("HTTP/1.1 404 Gone\r\nContent-Length: 0\r\n\r\n"),
                 stream_response_head("v1", "7") +
                     "id: 1\ndata: {\"n\":9}\n\n" + "id: 2\ndata: [DONE]\n\n");
    fake_engine engine(
        {{"HTTP/1.1 200 OK\r\nX-Model-Version: v1\r\nX-Engine-Incarnation: "
          "7\r\nContent-Length: 2\r\n\r\n{}",
          {},
          copy},
         {stream_response_head("v1", "7") + event(0)},
         {stream_response_head("v1", "7") + event(1) + "data: [DONE]\n\n"}});
    client_under_test test(engine.url());
    auto call = make_stream_request();
    call.streaming = false;
    test.client.start(1, call, test.observer);
    test.run_to_end();
    test.observer.end.reset();
    test.observer.chunks.clear();
    test.client.start(2, make_stream_request(), test.observer);
    test.run_to_end();
    CHECK_FALSE(test.observer.end->failure);
    CHECK(test.observer.text() == relayed_event(0) + relayed_event(1));
}

// Guards against a stream with a gap that is reported as complete.
TEST_CASE("a missing event is requested again")
{
    fake_engine engine({{stream_response_head("v1", "7") + event(0) + event(2) +
                         "data: [DONE]\n\n"},
                        {stream_response_head("v1", "7") + event(1) + event(2) +
                         "data: [DONE]\n\n"}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_request(), test.observer);
    test.run_to_end();
    CHECK_FALSE(test.observer.end->failure);
    CHECK(test.observer.text() ==
          relayed_event(0) + relayed_event(1) + relayed_event(2));
}

// Guards against a truncated stream that is reported as complete.
TEST_CASE("a stream that cannot be resumed ends as unknown")
{
    auto const lost = GENERATE(json_response("404 Not Found", "{}"),
                               stream_response_head("v1", "8") + event(1) +
                                   "data: [DONE]\n\n");
    fake_engine engine({{stream_response_head("v1", "7") + event(0)}, {lost}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_request(), test.observer);
    test.run_to_end();
    REQUIRE(test.observer.end->failure);
    CHECK(test.observer.end->endpoint_ended);
    CHECK(test.observer.end->failure->kind ==
          kernel::error_kind::stream_interrupted);
    CHECK(test.observer.end->failure->run == kernel::run_state::unknown);
    CHECK(test.observer.text() == relayed_event(0));
}

// Guards against a stream that goes on at other software of the engine: only
// one of its versions names the incarnation.
TEST_CASE("a stream is not resumed at an engine that begins or ceases to name "
          "its incarnation")
{
    auto const begins = GENERATE(true, false);
    fake_engine engine(
        {{stream_response_head("v1", begins ? "" : "8") + event(0)},
         {stream_response_head("v1", begins ? "8" : "") + event(1) +
          "data: [DONE]\n\n"}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_request(), test.observer);
    test.run_to_end();
    REQUIRE(test.observer.end->failure);
    CHECK(test.observer.text() == relayed_event(0));
}

// Guards against endless resume attempts at an engine that has terminated.
TEST_CASE("the number of resume attempts is limited")
{
    fake_engine engine({{stream_response_head("v1", "7") + event(0)}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_request(), test.observer);
    test.run_to_end();
    REQUIRE(test.observer.end->failure);
    CHECK(test.observer.end->failure->run == kernel::run_state::unknown);
    CHECK(engine.requests().size() == 7);
}

// Guards against relaying output of the wrong model version, and against an
// engine that keeps generating it.
TEST_CASE("a response of another model version is not relayed")
{
    fake_engine engine(
        {{stream_response_head("v2", "7") + event(0) + "data: [DONE]\n\n"},
         {json_response("200 OK", "{}")}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_request(), test.observer);
    test.run_to_end();
    REQUIRE(test.observer.end->failure);
    CHECK_FALSE(test.observer.end->endpoint_ended);
    CHECK(test.observer.end->failure->run == kernel::run_state::unknown);
    CHECK(test.observer.chunks.empty());
    REQUIRE(engine.wait_for_requests(2));
    CHECK(engine.requests()[1].starts_with("DELETE /v1/streams/abcd "));
}

// Guards against reporting "unknown" for a call that cannot have run.
TEST_CASE("a refused connection means not run")
{
    std::string url;
    {
        fake_engine const engine({});
        url = engine.url();
    }
    client_under_test test(url);
    test.client.start(1, make_stream_request(), test.observer);
    test.run_to_end();
    REQUIRE(test.observer.end->failure);
    CHECK_FALSE(test.observer.end->endpoint_ended);
    CHECK(test.observer.end->failure->run == kernel::run_state::not_run);
}

// Guards against reporting "not run", and against sending the request again,
// when the endpoint closes the connection without a response.
TEST_CASE("a request without a response is unknown and sent once")
{
    fake_engine engine({{""}, {json_response("200 OK", "{}")}});
    client_under_test test(engine.url());
    endpoint_request request;
    request.target = wire::target_kind::service;
    request.method = "GET";
    request.path = "/gate";
    test.client.start(1, request, test.observer);
    test.run_to_end();
    REQUIRE(test.observer.end->failure);
    CHECK(test.observer.end->endpoint_ended);
    CHECK(test.observer.end->failure->kind ==
          kernel::error_kind::outcome_unknown);
    CHECK(test.observer.end->failure->run == kernel::run_state::unknown);
    CHECK(engine.requests().size() == 1);
}

// Guards against a truncated body that is reported as complete.
TEST_CASE("a truncated body is a failure")
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

// Guards against an endpoint that stops inside the head of its response, and
// whose empty response is reported as complete.
TEST_CASE("a head that breaks off is a failure")
{
    std::string const heads[]{
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Last: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-First: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nX-Last: 1\r\n\r\n",
        "HTTP/1.1 503 X\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: 1\r\n\r\n",
        std::string("HTTP/1.1 100 Continue\r\n\r\n") +
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    for (auto const& head : heads)
    {
        for (std::size_t n = 1; n < head.size(); ++n)
        {
            auto const cut = head.substr(0, n);
            CAPTURE(cut);
            fake_engine engine({{cut}});
            client_under_test test(engine.url());
            endpoint_request request;
            request.target = wire::target_kind::service;
            request.method = "POST";
            request.path = "/gate";
            test.client.start(1, request, test.observer);
            test.run_to_end();
            REQUIRE(test.observer.end->failure);
            CHECK(test.observer.end->failure->run ==
                  kernel::run_state::unknown);
            CHECK(test.observer.end->endpoint_ended);
            CHECK(engine.requests().size() == 1);
        }
    }
}

// Guards against a caller that gets what is no answer of the endpoint, or a
// part of one that looks complete.
TEST_CASE("what is no valid response is a failure")
{
    std::string const end = "Content-Length: 2\r\n\r\nok";
    std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked";
    std::string const responses[]{
        "HTTP/1.1 000 X\r\n" + end,
        "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
        "HTTP/1.1 099 X\r\n" + end,
        "HTTP/1.1 101 X\r\n" + end,
        "HTTP/1.1 600 X\r\n" + end,
        "HTTP/1.1 999 X\r\n" + end,
        "HTTP/1.1 20 X\r\n" + end,
        "HTTP/2.0 200 OK\r\n" + end,
        "HTTP/1.1 200 O\x01K\r\n" + end,
        "HTTP/1.1 200 OK\r\nX Field: b\r\n" + end,
        "HTTP/1.1 200 OK\r\nX-Field : b\r\n" + end,
        "HTTP/1.1 200 OK\r\nX\x01: b\r\n" + end,
        "HTTP/1.1 200 OK\r\nX: a\x01\r\n" + end,
        "HTTP/1.1 200 OK\r\nX\r\n" + end,
        "HTTP/1.1 200 OK\r\n: b\r\n" + end,
        "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n" + end,
        "HTTP/1.1 200 OK\r\nX: a\rContent-Length: 1\r\n" + end,
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + end,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
        chunked + "\r\n" + end,
        chunked + "\r\n\r\n2\r\nokxx0\r\n\r\n"};
    for (auto const& bytes : responses)
    {
        CAPTURE(bytes);
        fake_engine engine({{bytes}});
        client_under_test test(engine.url());
        endpoint_request request;
        request.target = wire::target_kind::service;
        request.method = "POST";
        request.path = "/gate";
        test.client.start(1, request, test.observer);
        test.run_to_end();
        CHECK(test.observer.end->failure);
        CHECK(engine.requests().size() == 1);
    }
}

// Guards against an upload whose reset ends an answer without a length.
TEST_CASE("an early answer without a length is a failure")
{
    fake_engine engine({{"HTTP/1.1 200 OK\r\n\r\npart"}});
    client_under_test test(engine.url());
    endpoint_request request;
    request.target = wire::target_kind::service;
    request.method = "POST";
    request.path = "/gate";
    request.body = std::string(24U << 20U, 'x');
    test.client.start(1, request, test.observer);
    test.run_to_end();
    CHECK(test.observer.end->failure);
}

// Guards against memory that is filled by a head without end.
TEST_CASE("a head that is too long is a failure")
{
    std::string bytes = "HTTP/1.1 200 OK\r\n";
    for (int n = 0; n < 2000; ++n)
        bytes +=
            "X-" + std::to_string(n) + ": " + std::string(10000, 'x') + "\r\n";
    fake_engine engine({{bytes + "Content-Length: 2\r\n\r\nok"}});
    client_under_test test(engine.url());
    endpoint_request request;
    request.target = wire::target_kind::service;
    request.method = "POST";
    request.path = "/gate";
    test.client.start(1, request, test.observer);
    test.run_to_end();
    CHECK(test.observer.end->failure);
}

// Guards against an agent that hides or retries error responses of an engine.
TEST_CASE("an error response of the endpoint is a complete response")
{
    fake_engine engine({{json_response("400 Bad Request", "{\"error\":1}")}});
    client_under_test test(engine.url());
    test.client.start(1, make_stream_request(), test.observer);
    test.run_to_end();
    CHECK_FALSE(test.observer.end->failure);
    CHECK(test.observer.end->http_status == 400);
    CHECK(test.observer.text() == "{\"error\":1}");
    CHECK(engine.requests().size() == 1);
}

// Guards against unbounded buffering while the caller does not read.
TEST_CASE("a paused response is not read beyond the window")
{
    std::string const body(4U << 20U, 'x');
    fake_engine engine({{json_response("200 OK", body)}});
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

// Guards against misparsed load reports, listings and events.
TEST_CASE("load, listing, events and orders follow the protocol")
{
    std::string const block = "00000000000000010000000000000002";
    fake_engine engine(
        {{json_response("200 OK", R"({"incarnation":7,"running":1,"waiting":2,)"
                                  R"("capacity":4,"models":[{"model":"m",)"
                                  R"("version":"v1"}]})")},
         {json_response("200 OK", R"({"incarnation":7,"last_event":5,)"
                                  R"("blocks":[")" +
                                      block + "\"]}")},
         {json_response("200 OK", R"({"incarnation":7,"events":[)"
                                  R"({"number":6,"kind":"evicted","block":")" +
                                      block + "\"}]}")},
         {json_response("409 Conflict", "{}")},
         {json_response("200 OK", "{\"incarnation\":\"x\"}")}});
    client_under_test test(engine.url());
    int responses = 0;
    test.client.load(
        [&](kernel::result<engine_load> const& res)
        {
            REQUIRE(kernel::ok(res));
            CHECK(kernel::value(res).capacity == 4);
            CHECK(kernel::value(res).models.at(0).version.str() == "v1");
            ++responses;
        });
    test.run_until([&] { return responses == 1; });
    test.client.list_blocks(
        [&](kernel::result<cache_listing> const& res)
        {
            REQUIRE(kernel::ok(res));
            CHECK(kernel::value(res).last_event == 5);
            CHECK(kernel::value(res).blocks.at(0) == kernel::hash128{1, 2});
            ++responses;
        });
    test.run_until([&] { return responses == 2; });
    test.client.events(
        5, std::chrono::seconds(1),
        [&](kernel::result<std::vector<admission::cache_event>> const& res)
        {
            REQUIRE(kernel::ok(res));
            CHECK(kernel::value(res).at(0).number == 6);
            CHECK(kernel::value(res).at(0).kind ==
                  admission::cache_event_kind::evicted);
            ++responses;
        });
    test.run_until([&] { return responses == 3; });
    test.client.order({"load", "m", "v2", "", 9},
                      [&](kernel::result<kernel::done> const& res)
                      {
                          REQUIRE_FALSE(kernel::ok(res));
                          CHECK(kernel::failure(res).kind ==
                                kernel::error_kind::conflict);
                          ++responses;
                      });
    test.run_until([&] { return responses == 4; });
    CHECK(engine.requests().at(2).starts_with(
        "GET /v1/cache/events?after=5&wait_ms=1000 "));
    CHECK(engine.requests().at(3).find("\"fencing_number\":9") !=
          std::string::npos);
    test.client.load(
        [&](kernel::result<engine_load> const& res)
        {
            CHECK_FALSE(kernel::ok(res));
            ++responses;
        });
    test.run_until([&] { return responses == 5; });
}

} // namespace endiveward::agent
