#include "router/remote_endpoints.hpp"
#include "router/tests/router_under_test.hpp"

#include <nlohmann/json.hpp>

#include <atomic>

namespace endiveward::router
{

namespace
{

using connection = fake_agent::connection;

char const* const stream_body =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})";
char const* const buffered_body =
    R"({"model":"m","messages":[{"role":"user","content":"x"}]})";

std::string event(int n)
{
    return "data: {\"n\":" + std::to_string(n) + "}\n\n";
}

wire::verdict accepted(std::uint64_t call_id)
{
    wire::verdict out;
    out.call_id = call_id;
    out.hit_bytes = 2048;
    return out;
}

wire::verdict refused(std::uint64_t call_id, kernel::error_kind kind)
{
    wire::verdict out;
    out.call_id = call_id;
    out.refusal = kernel::error{kind, "refused; retry elsewhere",
                                kernel::run_state::not_run,
                                std::chrono::milliseconds(1500)};
    return out;
}

wire::call_end complete(std::uint64_t call_id, std::uint64_t chunks)
{
    wire::call_end out;
    out.call_id = call_id;
    out.chunks = chunks;
    out.outcome = wire::call_outcome::complete;
    out.http_status = 200;
    out.content_type = "application/json";
    out.prompt_bytes = 4096;
    out.cached_bytes = 1024;
    return out;
}

void ignore(connection const&, wire::message const&) {}

/// Accepts each call and answers it with three events.
void answer_all(connection const& conn, wire::message const& msg)
{
    auto const* call = std::get_if<wire::invoke>(&msg);
    if (call == nullptr)
        return;
    conn->send(accepted(call->call_id));
    for (int n = 0; n < 3; ++n)
        conn->send(wire::chunk{call->call_id, static_cast<std::uint64_t>(n),
                               event(n)});
    conn->send(complete(call->call_id, 3));
}

std::string head_of(std::string const& answer)
{
    return answer.substr(0, answer.find("\r\n\r\n"));
}

nlohmann::json error_of(std::string const& answer)
{
    auto const body = answer.substr(answer.find("\r\n\r\n") + 4);
    return nlohmann::json::parse(body).at("error");
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

bool in_order(std::string const& text, std::vector<std::string> const& parts)
{
    std::size_t at = 0;
    for (auto const& it : parts)
    {
        at = text.find(it, at);
        if (at == std::string::npos)
            return false;
        at += it.size();
    }
    return true;
}

} // namespace

// Guards against events lost or reordered on the way to the caller.
TEST_CASE("a streamed completion arrives complete and in order")
{
    fake_agent const agent("a", answer_all);
    router_under_test const router({&agent});
    auto const answer = router.post("/v1/chat/completions", stream_body,
                                    "X-Request-Id: id-1\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(contains(head_of(answer), "X-Request-Id: id-1"));
    CHECK(contains(head_of(answer), "X-Endiveward-Endpoint: a"));
    CHECK(contains(head_of(answer), "X-Endiveward-Cached-Bytes: 2048"));
    CHECK(in_order(answer, {event(0), event(1), event(2), "data: [DONE]\n\n"}));
    CHECK(router_under_test::eventually(
        [&] { return router.placement->in_flight() == 0; }));
}

// Guards against a buffered answer with the wrong body or cache figures.
TEST_CASE("a buffered completion consists of the chunks in order")
{
    fake_agent const agent("a", answer_all);
    router_under_test const router({&agent});
    auto const answer =
        router.post("/v1/completions", R"({"model":"m","prompt":"x"})");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(contains(head_of(answer), "X-Endiveward-Cached-Bytes: 1024"));
    CHECK(answer.ends_with("\r\n\r\n" + event(0) + event(1) + event(2)));
}

// Guards against a refusal reaching the caller while another endpoint is free.
TEST_CASE("a call that one agent refuses is answered by the next")
{
    fake_agent const first(
        "a",
        [](connection const& conn, wire::message const& msg)
        {
            if (auto const* it = std::get_if<wire::invoke>(&msg))
                conn->send(
                    refused(it->call_id, kernel::error_kind::overloaded));
        });
    fake_agent const second("b", answer_all);
    router_under_test const router({&first, &second});
    auto const answer = router.post("/v1/chat/completions", stream_body);
    CHECK(contains(head_of(answer), "X-Endiveward-Endpoint: b"));
    CHECK(contains(answer, "[DONE]"));
}

// Guards against an error without its status, code, run state or retry time.
TEST_CASE("a refusal by all agents is an error in the format of OpenAI")
{
    fake_agent const agent(
        "a",
        [](connection const& conn, wire::message const& msg)
        {
            if (auto const* it = std::get_if<wire::invoke>(&msg))
                conn->send(
                    refused(it->call_id, kernel::error_kind::overloaded));
        });
    router_under_test const router({&agent});
    auto const answer = router.post("/v1/chat/completions", stream_body);
    CHECK(answer.starts_with("HTTP/1.1 429"));
    CHECK(contains(head_of(answer), "Retry-After: 2"));
    CHECK(error_of(answer).at("code") == "overloaded");
    CHECK(error_of(answer).at("run") == "not_run");
}

// Guards against a lost connection that loses or repeats events (G2).
TEST_CASE("a stream continues where it was interrupted")
{
    fake_agent const agent(
        "a",
        [](connection const& conn, wire::message const& msg)
        {
            if (auto const* it = std::get_if<wire::invoke>(&msg))
            {
                conn->send(accepted(it->call_id));
                conn->send(wire::chunk{it->call_id, 0, event(0)},
                           [conn](wire::write_outcome) { conn->close(); });
            }
            if (auto const* it = std::get_if<wire::resume>(&msg))
            {
                for (auto n = it->next; n < 3; ++n)
                    conn->send(wire::chunk{it->call_id, n,
                                           event(static_cast<int>(n))});
                conn->send(complete(it->call_id, 3));
            }
        });
    router_under_test const router({&agent});
    auto const answer = router.post("/v1/chat/completions", stream_body);
    CHECK(in_order(answer, {event(0), event(1), event(2), "data: [DONE]\n\n"}));
    std::size_t first_events = 0;
    for (auto at = answer.find(event(0)); at != std::string::npos;
         at = answer.find(event(0), at + 1))
        ++first_events;
    CHECK(first_events == 1);
}

// Guards against truncated output that looks complete.
TEST_CASE("an interrupted stream ends with an error event and without DONE")
{
    fake_agent const agent(
        "a",
        [](connection const& conn, wire::message const& msg)
        {
            auto const* it = std::get_if<wire::invoke>(&msg);
            if (it == nullptr)
                return;
            conn->send(accepted(it->call_id));
            conn->send(wire::chunk{it->call_id, 0, event(0)});
            wire::call_end end;
            end.call_id = it->call_id;
            end.chunks = 1;
            end.outcome = wire::call_outcome::failed;
            end.failure = kernel::error{kernel::error_kind::stream_interrupted,
                                        "the engine stopped; repeat the call",
                                        kernel::run_state::unknown,
                                        {}};
            conn->send(end);
        });
    router_under_test const router({&agent});
    auto const answer = router.post("/v1/chat/completions", stream_body);
    CHECK(in_order(answer, {event(0), "stream_interrupted"}));
    CHECK_FALSE(contains(answer, "[DONE]"));
}

// Guards against the answer of one call reaching another caller (G4).
TEST_CASE("messages of unknown calls are dropped and counted")
{
    fake_agent const agent(
        "a",
        [](connection const& conn, wire::message const& msg)
        {
            auto const* it = std::get_if<wire::invoke>(&msg);
            if (it == nullptr)
                return;
            conn->send(wire::chunk{it->call_id + 1000, 0, event(9)});
            conn->send(complete(it->call_id + 1000, 1));
            answer_all(conn, msg);
        });
    router_under_test const router({&agent});
    auto const answer = router.post("/v1/chat/completions", stream_body);
    CHECK(contains(answer, "[DONE]"));
    CHECK_FALSE(contains(answer, event(9)));
    CHECK(router.dropped >= 2);
}

// Guards against a call that keeps running after its caller has disconnected.
TEST_CASE("a call is cancelled when its caller disconnects")
{
    fake_agent const agent("a",
                           [](connection const& conn, wire::message const& msg)
                           {
                               if (auto const* it =
                                       std::get_if<wire::invoke>(&msg))
                                   conn->send(accepted(it->call_id));
                           });
    router_under_test const router({&agent});
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), router.port()});
        auto const request =
            router_under_test::make_post("/v1/chat/completions", stream_body);
        asio::write(socket, asio::buffer(request));
        REQUIRE(router_under_test::eventually(
            [&] { return !agent.received().empty(); }));
    }
    CHECK(router_under_test::eventually(
        [&]
        {
            auto const all = agent.received();
            return std::any_of(
                all.begin(), all.end(),
                [](auto const& it)
                { return std::holds_alternative<wire::cancel>(it); });
        }));
    CHECK(router_under_test::eventually(
        [&] { return router.api->active_calls() == 0; }));
}

// Guards against a refused request without a proper error.
TEST_CASE("invalid requests are refused and not sent to an agent")
{
    fake_agent const agent("a", answer_all);
    caller_api_options options;
    options.max_body_bytes = 1000;
    router_under_test const router({&agent}, options);
    auto const check =
        [](std::string const& answer, int status, std::string const& code)
    {
        INFO(answer);
        CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(status)));
        CHECK(error_of(answer).at("code") == code);
        CHECK(error_of(answer).at("run") == "not_run");
    };
    check(router.post("/v1/chat/completions", "{"), 400, "invalid_request");
    check(router.post("/v1/completions", R"({"model":"m"})"), 400,
          "invalid_request");
    check(router.post("/v1/completions",
                      R"({"model":"m","prompt":"x","metadata":)" +
                          std::string(200, '[') + std::string(200, ']') + "}"),
          400, "invalid_request");
    check(router.post("/v1/completions", R"({"model":"no","prompt":"x"})"), 404,
          "model_not_found");
    check(router.post("/v1/other", "{}"), 404, "not_found");
    check(router.post("/services/other/x", "{}"), 404, "service_not_found");
    check(router.post("/v1/completions", std::string(1500, ' ')), 413,
          "body_too_large");
    check(router.post("/v1/completions", buffered_body,
                      "X-Request-Timeout-Ms: soon\r\n"),
          400, "invalid_request");
    check(router.exchange("GET /v1/models HTTP/1.1\r\nHost: test\r\n"
                          "Connection: close\r\n"
                          "Authorization: Bearer other\r\n\r\n"),
          401, "invalid_key");
    check(router.exchange("GET /v1/completions HTTP/1.1\r\nHost: test\r\n"
                          "Connection: close\r\n"
                          "Authorization: Bearer key\r\n\r\n"),
          405, "invalid_request");
    CHECK(agent.received().empty());
}

// Guards against a model list in a format that clients cannot read.
TEST_CASE("models are listed")
{
    fake_agent const agent("a", answer_all);
    router_under_test const router({&agent});
    auto const answer =
        router.exchange("GET /v1/models HTTP/1.1\r\nHost: test\r\n"
                        "Connection: close\r\n"
                        "Authorization: Bearer key\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(contains(answer, R"("id":"m")"));
}

// Guards against a service call that is repeated although it must run at most
// once.
TEST_CASE("only listed operations of a service are idempotent")
{
    fake_agent const agent("a", answer_all);
    router_under_test const router({&agent});
    auto const fields = "Content-Type: text/plain\r\n";
    CHECK(router.post("/services/gate/check?x=1", "body", fields)
              .starts_with("HTTP/1.1 200"));
    CHECK(router
              .exchange("GET /services/gate/status HTTP/1.1\r\nHost: test\r\n"
                        "Connection: close\r\n"
                        "Authorization: Bearer key\r\n\r\n")
              .starts_with("HTTP/1.1 200"));
    std::vector<wire::invoke> calls;
    for (auto const& it : agent.received())
    {
        if (auto const* call = std::get_if<wire::invoke>(&it))
            calls.push_back(*call);
    }
    REQUIRE(calls.size() == 2);
    CHECK(calls[0].path == "/check?x=1");
    CHECK(calls[0].body == "body");
    CHECK_FALSE(calls[0].idempotent);
    CHECK(calls[1].path == "/status");
    CHECK(calls[1].idempotent);
    for (auto const& it : calls[0].headers)
        CHECK(it.name != "authorization");
}

// Guards against a call that waits beyond its deadline.
TEST_CASE("a call without an answer ends at its deadline")
{
    fake_agent const agent("a",
                           [](connection const& conn, wire::message const& msg)
                           {
                               if (auto const* it =
                                       std::get_if<wire::invoke>(&msg))
                                   conn->send(accepted(it->call_id));
                           });
    router_under_test const router({&agent});
    auto const answer =
        router.post("/v1/completions", R"({"model":"m","prompt":"x"})",
                    "X-Request-Timeout-Ms: 20\r\n");
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(error_of(answer).at("code") == "deadline_exceeded");
    CHECK(error_of(answer).at("run") == "unknown");
}

// Guards against a call that is not evaluated again after a refusal as stale
// (G9).
TEST_CASE("a stale router catches up from the agent and sends the call again")
{
    std::atomic<bool> refused_once{false};
    fake_agent const agent(
        "a",
        [&](connection const& conn, wire::message const& msg)
        {
            if (auto const* it = std::get_if<wire::config_request>(&msg))
                conn->send(
                    wire::config_update{it->known_version, 7, true, "{}"});
            auto const* it = std::get_if<wire::invoke>(&msg);
            if (it == nullptr)
                return;
            if (it->config_version == 7)
                return answer_all(conn, msg);
            refused_once = true;
            auto answer =
                refused(it->call_id, kernel::error_kind::stale_configuration);
            answer.config_version = 7;
            conn->send(answer);
        });
    router_under_test const router({&agent});
    auto const answer = router.post("/v1/chat/completions", stream_body);
    CHECK(refused_once);
    CHECK(contains(answer, "[DONE]"));
    CHECK(router.configuration->current()->version() == 7);
}

// Guards against new work in a process that waits for its last call to end
// (G8).
TEST_CASE("a draining router refuses new requests as not run")
{
    fake_agent const agent("a", answer_all);
    router_under_test const router({&agent});
    router.api->refuse_new_calls();
    auto const answer = router.post("/v1/chat/completions", stream_body);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(error_of(answer).at("code") == "draining");
    CHECK(error_of(answer).at("run") == "not_run");
    CHECK(agent.received().empty());
}

// Guards against an isolated router that serves although it is configured to
// refuse.
TEST_CASE("a router without a confirmed configuration refuses new requests")
{
    fake_agent const agent("a", answer_all);
    std::atomic<bool> isolated{true};
    caller_api_options options;
    options.refusal = [&]() -> std::optional<kernel::error>
    {
        if (!isolated)
            return std::nullopt;
        return kernel::error{kernel::error_kind::stale_configuration,
                             "cut off; retry", kernel::run_state::not_run,
                             std::chrono::seconds(1)};
    };
    router_under_test const router({&agent}, options);
    auto const answer = router.post("/v1/chat/completions", stream_body);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(error_of(answer).at("code") == "stale_configuration");
    CHECK(error_of(answer).at("run") == "not_run");
    CHECK(agent.received().empty());

    isolated = false;
    CHECK(router.post("/v1/chat/completions", stream_body)
              .starts_with("HTTP/1.1 200"));
}

// Guards against a router that considers itself isolated because idle agents
// send a message only every 30 s.
TEST_CASE("a probed process reports its version")
{
    fake_agent const agent("a", ignore);
    router_under_test const router({&agent}, {}, {},
                                   std::chrono::milliseconds(5));
    CHECK(router_under_test::eventually([&] { return agent.probes > 2; }));
    CHECK(router_under_test::eventually([&] { return router.reports > 2; }));
    CHECK(router.hellos == 1);
}

// Guards against a refusal while another region could serve, and against
// connections to other regions that nothing uses.
TEST_CASE("agents of other regions are connected when a call needs them")
{
    fake_agent const agent("a", answer_all);
    auto const vms = std::make_shared<fake_vm_list>();
    storage::vm remote_vm;
    remote_vm.role = storage::vm_role::agent;
    remote_vm.address = "127.0.0.1";
    remote_vm.port = agent.port();
    remote_vm.region = kernel::region_id("far");
    remote_vm.endpoint = kernel::endpoint_id("a");
    vms->vms = {remote_vm};
    router_under_test const router({}, {}, {}, {}, vms);
    // The second poll starts after the first list was applied.
    REQUIRE(router_under_test::eventually([&] { return vms->polls > 1; }));
    CHECK(router.connections->open_agents() == 0);

    CHECK(router.post("/v1/chat/completions", stream_body)
              .starts_with("HTTP/1.1 200"));

    CHECK(router.connections->open_agents() == 1);
    REQUIRE(router_under_test::eventually(
        [&] { return router.api->active_calls() == 0; }));
    router.membership_clock->advance(remote_endpoints::idle_limit);
    CHECK(router_under_test::eventually(
        [&] { return router.connections->open_agents() == 0; }));
    CHECK(router.post("/v1/chat/completions", stream_body)
              .starts_with("HTTP/1.1 200"));
}

// Guards against new work for an endpoint that is leaving (G7).
TEST_CASE("an agent that drains is out of rotation at once")
{
    fake_agent const agent("a",
                           [](connection const& conn, wire::message const& msg)
                           {
                               if (std::holds_alternative<wire::invoke>(msg))
                                   conn->send(wire::draining{});
                               answer_all(conn, msg);
                           });
    router_under_test const router({&agent});
    CHECK(contains(router.post("/v1/chat/completions", stream_body), "[DONE]"));
    CHECK_FALSE(router.placement->is_available(kernel::endpoint_id("a")));
    auto const answer = router.post("/v1/chat/completions", stream_body);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(error_of(answer).at("code") == "no_eligible_endpoint");
}

// Guards against an endpoint that stays unused after one lost connection, and
// against a candidate without a connection.
TEST_CASE("a lost agent is not chosen until it is connected again")
{
    std::atomic<int> invokes{0};
    fake_agent const agent("a",
                           [&](connection const& conn, wire::message const& msg)
                           {
                               if (!std::holds_alternative<wire::invoke>(msg))
                                   return;
                               if (invokes++ == 0)
                                   conn->close();
                               else
                                   answer_all(conn, msg);
                           });
    router_under_test const router({&agent});
    // The only endpoint is excluded for the rest of the call.
    auto const answer = router.post("/v1/chat/completions", stream_body);
    CHECK(error_of(answer).at("code") == "outcome_unknown");
    REQUIRE(router_under_test::eventually(
        [&]
        { return router.placement->is_available(kernel::endpoint_id("a")); }));
    CHECK(contains(router.post("/v1/chat/completions", stream_body), "[DONE]"));
}

// Guards against a frozen agent that stays in rotation, and against an unknown
// outcome reported as "not run" (G5).
TEST_CASE("an agent without a verdict is out of rotation until it answers")
{
    fake_agent frozen("a", [](auto const&, auto const&) {});
    frozen.answers_probes = false;
    router_under_test const router({&frozen});
    router.services->verdict_timeout = std::chrono::milliseconds(1);
    auto const answer =
        router.post("/v1/completions", R"({"model":"m","prompt":"x"})",
                    "Idempotency-Key: k\r\n");
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(error_of(answer).at("code") == "outcome_unknown");
    CHECK(error_of(answer).at("run") == "unknown");
    kernel::endpoint_id const id("a");
    REQUIRE(router_under_test::eventually([&] { return frozen.probes > 0; }));
    CHECK_FALSE(router.placement->is_available(id));
    frozen.send_heartbeat();
    CHECK(router_under_test::eventually(
        [&] { return router.placement->is_available(id); }));
}

namespace
{

template <typename Message>
bool has_received(fake_agent const& peer,
                  std::function<bool(Message const&)> const& matches)
{
    for (auto const& it : peer.received())
    {
        auto const* msg = std::get_if<Message>(&it);
        if (msg != nullptr && matches(*msg))
            return true;
    }
    return false;
}

} // namespace

// Guards against a router that does not pass on a new version.
TEST_CASE("an applied version is pushed to agents and routers")
{
    fake_agent const agent("a", ignore);
    fake_agent const peer("other", ignore, wire::process_role::router);
    router_under_test router({&agent}, {}, {&peer});
    auto const is_gossip = [](wire::gossip const&) { return true; };
    REQUIRE(router_under_test::eventually(
        [&] { return has_received<wire::gossip>(peer, is_gossip); }));

    router.configuration->apply({1, 2, true, "{}"});

    auto const is_update = [](wire::config_update const& it)
    { return it.to_version == 2; };
    CHECK(router_under_test::eventually(
        [&] { return has_received<wire::config_update>(agent, is_update); }));
    CHECK(router_under_test::eventually(
        [&] { return has_received<wire::config_update>(peer, is_update); }));
    CHECK(router_under_test::eventually([&]
                                        { return router.updates_sent == 2; }));
}

// Guards against a router that keeps an old version although a peer announced a
// newer one.
TEST_CASE("the older side of gossip requests the newer version")
{
    fake_agent peer(
        "other",
        [](connection const& conn, wire::message const& msg)
        {
            if (std::holds_alternative<wire::config_request>(msg))
                conn->send(wire::config_update{1, 4, true, "{}"});
        },
        wire::process_role::router);
    router_under_test router({}, {}, {&peer});
    auto const is_gossip = [](wire::gossip const&) { return true; };
    REQUIRE(router_under_test::eventually(
        [&] { return has_received<wire::gossip>(peer, is_gossip); }));

    peer.send(wire::gossip{4, {}});

    CHECK(router_under_test::eventually(
        [&] { return router.configuration->current()->version() == 4; }));

    // A peer with an older version is informed of the newer one.
    peer.send(wire::gossip{3, {}});
    auto const is_answer = [](wire::gossip const& it)
    { return it.config_version == 4 && it.members.empty(); };
    CHECK(router_under_test::eventually(
        [&] { return has_received<wire::gossip>(peer, is_answer); }));
}

// Guards against a call that crashes one endpoint after the other each time it
// comes, at any router.
TEST_CASE("a call that has crashed two endpoints is not sent again")
{
    std::atomic<int> bad_calls{0};
    auto const crash_or_answer =
        [&](connection const& conn, wire::message const& msg)
    {
        auto const* const call = std::get_if<wire::invoke>(&msg);
        if (call == nullptr || call->body.find("bad") == std::string::npos)
            return answer_all(conn, msg);
        ++bad_calls;
        conn->send(accepted(call->call_id));
        wire::call_end end;
        end.call_id = call->call_id;
        end.outcome = wire::call_outcome::failed;
        end.failure = kernel::error{kernel::error_kind::outcome_unknown,
                                    "the answer was not complete",
                                    kernel::run_state::unknown,
                                    {}};
        end.load.engine_incarnation = 1;
        end.endpoint_ended = true;
        conn->send(end);
    };
    fake_agent const first("a", crash_or_answer);
    fake_agent const second("b", crash_or_answer);
    router_under_test const router({&first, &second});
    router_under_test const other({&first, &second});
    auto const bad =
        R"({"model":"m","messages":[{"role":"user","content":"bad"}]})";
    std::string answer;
    for (int n = 0; n < 4; ++n)
        answer = router.post("/v1/chat/completions", bad);
    CHECK(bad_calls == 2);
    CHECK(answer.starts_with("HTTP/1.1 429"));
    CHECK(contains(head_of(answer), "Retry-After: "));
    CHECK(error_of(answer).at("run") == "not_run");
    CHECK(router.post("/v1/chat/completions", buffered_body)
              .starts_with("HTTP/1.1 200"));
    // The agents pass the report on; here, the test does.
    auto const report_of = [](fake_agent const& agent)
    {
        wire::part_report res;
        for (auto const& it : agent.received())
        {
            if (auto const* report = std::get_if<wire::part_report>(&it))
                res.crashes.insert(res.crashes.end(), report->crashes.begin(),
                                   report->crashes.end());
        }
        return res;
    };
    REQUIRE(router_under_test::eventually(
        [&] { return report_of(first).crashes.size() == 2; }));
    other.crashes->on_report(report_of(first));
    CHECK(other.post("/v1/chat/completions", bad).starts_with("HTTP/1.1 429"));
    CHECK(bad_calls == 2);
}

} // namespace endiveward::router
