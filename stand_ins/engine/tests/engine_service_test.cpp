#include "engine/engine_service.hpp"
#include "engine/prompt.hpp"

#include "support/http_client.hpp"
#include "support/wait.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <sstream>

namespace endiveward::stand_ins
{

namespace
{

using nlohmann::json;
using namespace test_support;

engine_options fast_options()
{
    engine_options options;
    options.prefill_bytes_per_second = 1'000'000'000;
    options.token_interval = std::chrono::milliseconds(0);
    options.load_lag = std::chrono::milliseconds(0);
    options.event_lag = std::chrono::milliseconds(0);
    options.load_time = std::chrono::milliseconds(0);
    options.weights = "m@v1";
    return options;
}

/// An engine on a free port.
struct running_engine
{
    explicit running_engine(engine_options const& options = fast_options())
        : service(options)
    {
    }

    engine_service service;
    http_server server{"127.0.0.1", 0, [this](auto& req, auto& reply) {
                           service.handle(req, reply);
                       }};

    std::string url(std::string const& path) const
    {
        return fmt::format("http://127.0.0.1:{}{}", server.port(), path);
    }
    json stats() const { return json::parse(get(url("/admin/stats")).body); }
};

json chat(std::string const& text)
{
    return {{"model", "m"},
            {"messages", json::array({{{"role", "user"}, {"content", text}}})}};
}

http_call completion(running_engine const& engine, json const& body)
{
    http_call call;
    call.method = "POST";
    call.url = engine.url("/v1/chat/completions");
    call.body = body.dump();
    call.headers["X-Stream-Id"] = "stream-1";
    return call;
}

/// Joins the text of the SSE events.
std::string streamed_text(std::string const& body)
{
    std::string text;
    std::istringstream in(body);
    for (std::string line; std::getline(in, line);)
    {
        if (line.rfind("data: {", 0) != 0)
            continue;
        auto const event = json::parse(line.substr(6));
        text += event["choices"][0]["delta"].value("content", "");
    }
    return text;
}

std::size_t count_events(std::string const& body)
{
    std::size_t count = 0;
    for (auto at = body.find("id: "); at != std::string::npos;
         at = body.find("id: ", at + 1))
        ++count;
    return count;
}

} // namespace

// Guards against answers that a test cannot check.
TEST_CASE("an engine gives the computed answer, whole and streamed")
{
    running_engine engine;
    json body = chat("review <<file-7>>");
    auto const whole = send(completion(engine, body));
    REQUIRE(whole.status == 200);
    auto const parsed = json::parse(whole.body);
    CHECK(parsed["choices"][0]["message"]["content"] == answer_text(body));
    CHECK(whole.headers.at("x-model-version") == "v1");
    body["stream"] = true;
    auto const streamed = send(completion(engine, body));
    CHECK(streamed.complete);
    CHECK(streamed_text(streamed.body) == answer_text(body));
    CHECK(streamed.body.find("data: [DONE]\n\n") != std::string::npos);
    CHECK(engine.stats()["executions_by_marker"]["file-7"] == 2);
}

// Guards against a cache that never hits or that ignores the salt.
TEST_CASE("a repeated prompt is cached under the same salt only")
{
    running_engine engine;
    json body = chat(std::string(5000, 'x'));
    body["cache_salt"] = std::string(32, 'a');
    auto const cached = [&engine](json const& request)
    {
        auto const answer = json::parse(send(completion(engine, request)).body);
        return answer["usage"]["prompt_tokens_details"]["cached_tokens"]
            .get<int>();
    };
    CHECK(cached(body) == 0);
    CHECK(cached(body) == 4 * 256);
    body["cache_salt"] = std::string(32, 'b');
    CHECK(cached(body) == 0);
    auto const events =
        json::parse(get(engine.url("/v1/cache/events?after=0")).body);
    CHECK(events["events"].size() == 8);
}

// Guards against a switch for late events that changes more than it says.
TEST_CASE("old events are listed as often as ordered")
{
    running_engine engine;
    auto const list = [&]
    { return json::parse(get(engine.url("/v1/cache/events?after=0")).body); };
    auto const own = list();
    json const old{{"incarnation", 5}, {"events", json::array({1})}};
    auto order = old;
    order["times"] = 2;
    post(engine.url("/admin/old_events"), order.dump());
    CHECK(list() == old);
    CHECK(list() == old);
    CHECK(list() == own);
    CHECK(engine.stats()["old_events"] == 2);
}

// Guards against a broken connection that looks like a complete answer, and
// against a resumed stream with missing or repeated events.
TEST_CASE("a broken stream is incomplete and can be resumed")
{
    running_engine engine;
    json body = chat("approve <<pass-3>>");
    body["stream"] = true;
    post(engine.url("/admin/break_connection"),
         R"({"after_events":3,"times":2})");
    auto const first = send(completion(engine, body));
    CHECK_FALSE(first.complete);
    CHECK(first.body.find("[DONE]") == std::string::npos);
    CHECK(count_events(first.body) == 3);
    auto const second = get(engine.url("/v1/streams/stream-1?from=3"));
    CHECK_FALSE(second.complete);
    CHECK(count_events(second.body) == 3);
    auto const rest = get(engine.url("/v1/streams/stream-1?from=6"));
    CHECK(rest.complete);
    CHECK(streamed_text(first.body + second.body + rest.body) ==
          answer_text(body));
    CHECK(engine.stats()["executions"] == 1);
}

// Guards against work for callers that are gone.
TEST_CASE("a stream that nobody reads is cancelled after its retention")
{
    auto options = fast_options();
    options.stream_retention = std::chrono::milliseconds(0);
    options.token_interval = std::chrono::milliseconds(1);
    running_engine engine(options);
    json body = chat("long");
    body["stream"] = true;
    body["max_tokens"] = 1'000'000;
    auto call = completion(engine, body);
    call.on_data = [](std::string_view) { return false; };
    CHECK_FALSE(send(call).complete);
    CHECK(wait_until([&engine] { return engine.stats()["cancelled"] == 1; }));
    CHECK(engine.stats()["running"] == 0);
}

// Guards against a cancelled stream that looks complete or runs on.
TEST_CASE("a cancelled stream ends incomplete")
{
    auto options = fast_options();
    options.token_interval = std::chrono::milliseconds(1);
    running_engine engine(options);
    json body = chat("long");
    body["stream"] = true;
    body["max_tokens"] = 1'000'000;
    auto call = completion(engine, body);
    http_call cancel;
    cancel.method = "DELETE";
    cancel.url = engine.url("/v1/streams/stream-1");
    bool sent = false;
    call.on_data = [&](std::string_view)
    {
        if (!sent)
            CHECK(send(cancel).status == 200);
        sent = true;
        return true;
    };
    auto const answer = send(call);
    CHECK_FALSE(answer.complete);
    CHECK(answer.body.find("[DONE]") == std::string::npos);
    CHECK(wait_until([&engine] { return engine.stats()["cancelled"] == 1; }));
}

// Guards against switches without effect: a frozen engine that answers, a
// wrong version that is not reported, and forgotten streams that resume.
TEST_CASE("switches change what callers see")
{
    running_engine engine;
    json const body = chat("x");
    post(engine.url("/admin/wrong_version"), R"({"on":true})");
    CHECK(send(completion(engine, body)).headers.at("x-model-version") ==
          "unknown");
    post(engine.url("/admin/forget_streams"), "{}");
    CHECK(get(engine.url("/v1/streams/stream-1?from=0")).status == 404);
    post(engine.url("/admin/freeze"), R"({"ms":3600000})");
    auto call = completion(engine, body);
    call.timeout = std::chrono::milliseconds(100);
    CHECK(send(call).status == 0);
    post(engine.url("/admin/freeze"), R"({"ms":0})");
    CHECK(send(completion(engine, body)).status == 200);
    CHECK(post(engine.url("/admin/no_such_switch"), "{}").status == 404);
}

// Guards against orders of a former lease holder that take effect.
TEST_CASE("an old fencing number is refused")
{
    running_engine engine;
    auto const order = [&engine](int number)
    {
        json const body{{"order", "load"},
                        {"model", "m"},
                        {"version", "v2"},
                        {"fencing_number", number}};
        return post(engine.url("/v1/orders"), body.dump()).status;
    };
    CHECK(order(5) == 200);
    CHECK(order(4) == 409);
    CHECK(engine.stats()["models"].size() == 2);
}

// Guards against KV cache that crosses cache namespaces.
TEST_CASE("KV cache is imported only under its own salt")
{
    running_engine engine;
    running_engine other;
    json body = chat(std::string(2000, 'x'));
    body["cache_salt"] = std::string(32, 'a');
    send(completion(engine, body));
    auto const blocks = json::parse(get(engine.url("/v1/cache/blocks")).body);
    std::string const block = blocks["blocks"][0];
    http_call call;
    call.url = engine.url("/v1/kv/" + block);
    call.headers["X-Cache-Salt"] = std::string(32, 'a');
    auto const exported = send(call);
    REQUIRE(exported.status == 200);
    call.method = "PUT";
    call.url = other.url("/v1/kv/" + block);
    call.body = exported.body;
    CHECK(send(call).status == 200);
    call.headers["X-Cache-Salt"] = std::string(32, 'b');
    CHECK(send(call).status == 409);
}

} // namespace endiveward::stand_ins
