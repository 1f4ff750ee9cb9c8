#include "agent/internal/agent_metrics.hpp"
#include "agent/internal/call_executor.hpp"
#include "agent/internal/load_reporter.hpp"
#include "agent/tests/fakes.hpp"
#include "kernel/manual_clock.hpp"

#include <catch2/catch.hpp>
#include <prometheus/registry.h>

namespace endiveward::agent
{

namespace
{

using namespace std::chrono_literals;
using kernel::error_kind;
using kernel::run_state;

struct agent_under_test
{
    agent_under_test()
    {
        call_executor_dependencies dependencies;
        dependencies.clock = clock;
        dependencies.queue = queue;
        dependencies.ledger = ledger;
        dependencies.cache_index = cache_index;
        dependencies.configuration = configuration;
        dependencies.endpoint = endpoint;
        dependencies.load = load;
        dependencies.metrics = std::make_shared<agent_metrics>(
            std::make_shared<prometheus::Registry>());
        dependencies.make_buffer = []
        { return std::make_unique<fake_buffer>(); };
        dependencies.cache_salt = [](wire::invoke const&) { return "salt"; };
        executor.emplace(dependencies, endpoint_identity{endpoint_id, {}});
        engine_load loaded;
        loaded.incarnation = 7;
        loaded.capacity = 1;
        loaded.models = {{kernel::model_id("m"), kernel::model_version("v1")}};
        load->update_engine_load(loaded);
    }

    wire::invoke make_invoke(std::uint64_t call_id) const
    {
        wire::invoke it;
        it.call_id = call_id;
        it.stream_id = {1, call_id};
        it.workspace = kernel::workspace_id("w");
        it.model = kernel::model_id("m");
        it.version = kernel::model_version("v1");
        it.method = "POST";
        it.path = "/v1/completions";
        it.body = R"({"prompt":"x","cache_salt":"forged"})";
        it.streaming = true;
        it.idempotent = true;
        it.deadline = 60s;
        it.config_version = 1;
        return it;
    }

    void advance(std::chrono::milliseconds step)
    {
        clock->advance(step);
        executor->tick();
    }

    kernel::endpoint_id const endpoint_id{"e1"};
    std::shared_ptr<kernel::manual_clock> clock =
        std::make_shared<kernel::manual_clock>();
    std::shared_ptr<fake_queue> queue = std::make_shared<fake_queue>(*clock);
    std::shared_ptr<fake_ledger> ledger = std::make_shared<fake_ledger>();
    std::shared_ptr<fake_cache_index> cache_index =
        std::make_shared<fake_cache_index>();
    std::shared_ptr<fake_config_state> configuration =
        std::make_shared<fake_config_state>();
    std::shared_ptr<fake_endpoint> endpoint = std::make_shared<fake_endpoint>();
    std::shared_ptr<load_reporter> load =
        std::make_shared<load_reporter>(queue, 5, 16);
    std::optional<call_executor> executor;
    std::shared_ptr<fake_connection> router =
        std::make_shared<fake_connection>();
    std::shared_ptr<fake_connection> other =
        std::make_shared<fake_connection>();
};

wire::verdict only_verdict(fake_connection const& conn)
{
    auto const all = conn.all<wire::verdict>();
    REQUIRE(all.size() == 1);
    return all.front();
}

wire::call_end only_end(fake_connection const& conn)
{
    auto const all = conn.all<wire::call_end>();
    REQUIRE(all.size() == 1);
    return all.front();
}

} // namespace

// Guards against a response that is lost, changed or reordered without any
// failure, and against a caller that chooses the cache namespace.
TEST_CASE("a call runs and its response is relayed in order")
{
    agent_under_test agent;
    auto request = agent.make_invoke(1);
    request.prefix_levels = {{{1, 2}, 4096}};
    agent.executor->on_invoke(agent.router, request);
    auto const verdict = only_verdict(*agent.router);
    CHECK_FALSE(verdict.refusal);
    CHECK(verdict.hit_bytes == 4096);
    CHECK(verdict.load.engine_incarnation == 7);
    REQUIRE(agent.endpoint->started.size() == 1);
    auto const& body = agent.endpoint->started[0].request.body;
    CHECK(body.find("\"cache_salt\":\"salt\"") != std::string::npos);
    CHECK(body.find("forged") == std::string::npos);
    agent.endpoint->send_chunk(0, "a");
    agent.endpoint->send_chunk(0, "b");
    agent.endpoint->finish(0);
    CHECK(agent.router->received_bytes() == "ab");
    auto const end = only_end(*agent.router);
    CHECK(end.outcome == wire::call_outcome::complete);
    CHECK(end.chunks == 2);
}

// Guards against chunks that are lost, repeated or reordered when the router's
// connection breaks in the middle of a stream.
TEST_CASE("a stream is resumed on another connection")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.endpoint->send_chunk(0, "0");
    agent.endpoint->send_chunk(0, "1");
    agent.endpoint->send_chunk(0, "2");
    agent.executor->on_ack(agent.router, {1, 1});
    agent.executor->on_connection_closed(agent.router);
    agent.endpoint->send_chunk(0, "3");
    agent.executor->on_resume(agent.other, {9, {1, 1}, 2});
    agent.endpoint->send_chunk(0, "4");
    agent.endpoint->finish(0);
    CHECK(agent.other->received_bytes(2) == "234");
    for (auto const& it : agent.other->all<wire::chunk>())
        CHECK(it.call_id == 9);
    CHECK(only_end(*agent.other).chunks == 5);
    CHECK(agent.router->all<wire::call_end>().empty());
    CHECK(agent.endpoint->started.size() == 1);
}

// Guards against a truncated response: the router may lose the connection after
// the stream has ended.
TEST_CASE("a stream that has ended is kept for the resume window")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.endpoint->send_chunk(0, "0");
    agent.endpoint->finish(0);
    agent.executor->on_connection_closed(agent.router);
    agent.advance(9s);
    agent.executor->on_resume(agent.other, {3, {1, 1}, 0});
    CHECK(agent.other->received_bytes() == "0");
    CHECK(only_end(*agent.other).outcome == wire::call_outcome::complete);
    agent.advance(2s);
    auto const late = std::make_shared<fake_connection>();
    agent.executor->on_resume(late, {4, {1, 1}, 0});
    auto const end = only_end(*late);
    CHECK(end.outcome == wire::call_outcome::failed);
    CHECK(end.failure->run == run_state::unknown);
}

// Guards against a gap in the stream: acknowledged chunks are released and
// cannot be sent again.
TEST_CASE("a resume below the acknowledged chunks fails")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.endpoint->send_chunk(0, "0");
    agent.endpoint->send_chunk(0, "1");
    agent.executor->on_ack(agent.router, {1, 2});
    agent.executor->on_connection_closed(agent.router);
    agent.executor->on_resume(agent.other, {2, {1, 1}, 1});
    CHECK(only_end(*agent.other).failure->kind ==
          error_kind::stream_interrupted);
    CHECK(agent.other->all<wire::chunk>().empty());
}

// Guards against calls of crashed routers that occupy endpoint capacity
// indefinitely.
TEST_CASE("an idempotent call without a router is cancelled after the window")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.executor->on_connection_closed(agent.router);
    agent.advance(9s);
    CHECK(agent.endpoint->cancelled.empty());
    agent.advance(1s);
    CHECK(agent.endpoint->cancelled.size() == 1);
    CHECK(agent.queue->running() == 0);
}

// Guards against keyed calls that end as unknown because their router
// disconnected: the caller's retry needs the recorded response. More output
// than the buffer holds must not pause the call.
TEST_CASE(
    "a keyed call without a router continues and its response is recorded")
{
    agent_under_test agent;
    auto request = agent.make_invoke(1);
    request.idempotent = false;
    request.idempotency_key = "k";
    agent.executor->on_invoke(agent.router, request);
    bool const claim_is_late = GENERATE(false, true);
    if (!claim_is_late)
        agent.ledger->grant();
    agent.executor->on_connection_closed(agent.router);
    std::string const piece(fake_buffer::limit, 'x');
    if (!claim_is_late)
        agent.endpoint->send_chunk(0, piece);
    agent.advance(10s);
    if (claim_is_late)
    {
        agent.ledger->grant();
        agent.endpoint->send_chunk(0, piece);
    }
    CHECK(agent.endpoint->cancelled.empty());
    CHECK(agent.endpoint->paused.empty());
    agent.advance(10s);
    agent.endpoint->send_chunk(0, piece);
    CHECK(agent.endpoint->paused.empty());
    agent.endpoint->finish(0);
    REQUIRE(agent.ledger->completed.size() == 1);
    REQUIRE(agent.ledger->completed[0]);
    CHECK(agent.ledger->completed[0]->body == piece + piece);
    CHECK(agent.queue->running() == 0);

    // The chunks were discarded, so a late resume must not get a partial
    // response as a complete one.
    agent.executor->on_resume(agent.other, {2, {1, 1}, 0});
    CHECK(only_end(*agent.other).failure->run == run_state::unknown);
    CHECK(agent.other->all<wire::chunk>().empty());
}

// Guards against cancelling a call that must not be retried.
TEST_CASE("a non-idempotent call without a key continues without a router")
{
    agent_under_test agent;
    auto request = agent.make_invoke(1);
    request.idempotent = false;
    agent.executor->on_invoke(agent.router, request);
    agent.executor->on_connection_closed(agent.router);
    agent.advance(20s);
    CHECK(agent.endpoint->cancelled.empty());
    CHECK(agent.queue->running() == 1);
    SECTION("it completes")
    {
        agent.endpoint->finish(0);
        CHECK(agent.endpoint->cancelled.empty());
    }
    SECTION("its deadline expires")
    {
        agent.advance(40s);
        CHECK(agent.endpoint->cancelled.size() == 1);
    }
    CHECK(agent.queue->running() == 0);
    agent.advance(10s);
    CHECK(agent.executor->idle());
}

// Guards against a stream that cannot be resumed although its router
// reconnected before any output was discarded.
TEST_CASE("a call that continued without a router can still be resumed")
{
    agent_under_test agent;
    auto request = agent.make_invoke(1);
    request.idempotent = false;
    agent.executor->on_invoke(agent.router, request);
    agent.executor->on_connection_closed(agent.router);
    agent.advance(20s);
    agent.executor->on_resume(agent.other, {2, {1, 1}, 0});
    agent.endpoint->send_chunk(0, "0");
    agent.endpoint->finish(0);
    CHECK(agent.other->received_bytes() == "0");
    CHECK(only_end(*agent.other).outcome == wire::call_outcome::complete);
}

// Guards against running a call twice when a router sends its invoke again.
TEST_CASE("a repeated invoke does not run twice")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.endpoint->send_chunk(0, "0");
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    CHECK(agent.router->all<wire::verdict>().size() == 1);

    auto again = agent.make_invoke(1);
    again.call_id = 5;
    agent.executor->on_connection_closed(agent.router);
    agent.executor->on_invoke(agent.other, again);
    agent.endpoint->send_chunk(0, "1");
    agent.endpoint->finish(0);
    CHECK(agent.endpoint->started.size() == 1);
    CHECK(agent.other->received_bytes() == "01");
    CHECK(only_end(*agent.other).call_id == 5);
}

// Guards against a response that is delivered to the caller of another request.
TEST_CASE("a stream id of another request is refused")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    auto forged = agent.make_invoke(1);
    forged.workspace = kernel::workspace_id("other");
    agent.executor->on_invoke(agent.other, forged);
    auto const verdict = only_verdict(*agent.other);
    REQUIRE(verdict.refusal);
    CHECK(verdict.refusal->kind == error_kind::invalid_request);
    agent.endpoint->send_chunk(0, "secret");
    CHECK(agent.other->all<wire::chunk>().empty());
}

// Guards against an agent that runs out of memory because its queue is limited
// by the number of calls only, and against small calls that are refused beside
// large ones.
TEST_CASE("requests of calls take a limited amount of memory together")
{
    agent_under_test agent;
    auto const refusal = [&](std::uint64_t call_id, std::size_t body_bytes)
    {
        auto request = agent.make_invoke(call_id);
        request.body.insert(request.body.size() - 1,
                            ",\"x\":\"" + std::string(body_bytes, 'x') + "\"");
        agent.executor->on_invoke(agent.router, request);
        return agent.router->all<wire::verdict>().back().refusal;
    };
    constexpr std::size_t large = 1U << 20U;
    std::uint64_t id = 0;
    // Of 64 MiB, with three copies of each body.
    while (id < 21)
        REQUIRE_FALSE(refusal(++id, large));
    auto const refused = refusal(++id, large);
    REQUIRE(refused);
    CHECK(refused->kind == error_kind::overloaded);
    CHECK(refused->run == kernel::run_state::not_run);
    CHECK(refused->retry_after);
    CHECK_FALSE(refusal(++id, 1000));
    // A call that has ended gives its memory back.
    agent.endpoint->finish(0);
    auto const later = refusal(++id, large);
    INFO((later ? later->message : "taken"));
    CHECK_FALSE(later);
}

// Guards against a truncated response that is reported as complete.
TEST_CASE("a call whose engine fails does not end as complete")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.endpoint->send_chunk(0, "0");
    agent.endpoint->finish(0, kernel::error{error_kind::stream_interrupted,
                                            "broken",
                                            run_state::unknown,
                                            {}});
    auto const end = only_end(*agent.router);
    CHECK(end.outcome == wire::call_outcome::failed);
    CHECK(end.failure->run == run_state::unknown);
}

// Guards against a late or wrong result for a call that exceeded its deadline
// in the queue.
TEST_CASE("a queued call whose deadline passes ends as not run")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    auto second = agent.make_invoke(2);
    second.deadline = 100ms;
    agent.executor->on_invoke(agent.router, second);
    CHECK(agent.endpoint->started.size() == 1);
    agent.advance(100ms);
    auto const end = only_end(*agent.router);
    CHECK(end.call_id == 2);
    CHECK(end.chunks == 0);
    CHECK(end.failure->kind == error_kind::deadline_exceeded);
    CHECK(end.failure->run == run_state::not_run);
    agent.endpoint->finish(0);
    CHECK(agent.endpoint->started.size() == 1);
}

// Guards against a call that is held at this endpoint although the queue knows
// that it will not run here.
TEST_CASE("a queued call without prospects ends as not run")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.executor->on_invoke(agent.router, agent.make_invoke(2));
    CHECK(agent.endpoint->started.size() == 1);
    // The queue knows a call by the executor's own id.
    agent.queue->hopeless = {
        {agent.queue->first_waiting(),
         {error_kind::overloaded, "busy", run_state::not_run, 300ms}}};
    agent.advance(1ms);
    auto const end = only_end(*agent.router);
    CHECK(end.call_id == 2);
    CHECK(end.failure->kind == error_kind::overloaded);
    CHECK(end.failure->run == run_state::not_run);
    CHECK(end.failure->retry_after == 300ms);
    agent.endpoint->finish(0);
    CHECK(agent.endpoint->started.size() == 1);
}

// Guards against reporting "not run" for a call that the engine has received.
TEST_CASE("a running call whose deadline passes ends as unknown")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.advance(60s);
    auto const end = only_end(*agent.router);
    CHECK(end.failure->kind == error_kind::deadline_exceeded);
    CHECK(end.failure->run == run_state::unknown);
    CHECK(agent.endpoint->cancelled.size() == 1);
    agent.endpoint->send_chunk(0, "late");
    agent.endpoint->finish(0);
    CHECK(agent.router->all<wire::call_end>().size() == 1);
    CHECK(agent.router->all<wire::chunk>().empty());
}

// Guards against routing by selectors that have been replaced.
TEST_CASE("a router with an older configuration is refused")
{
    agent_under_test agent;
    agent.configuration->set(2);
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    auto const verdict = only_verdict(*agent.router);
    REQUIRE(verdict.refusal);
    CHECK(verdict.refusal->kind == error_kind::stale_configuration);
    CHECK(verdict.refusal->run == run_state::not_run);
    CHECK(verdict.config_version == 2);
    CHECK(agent.endpoint->started.empty());
}

// Guards against admission by an outdated configuration of the agent.
TEST_CASE("an agent with an older configuration updates before admission")
{
    agent_under_test agent;
    auto request = agent.make_invoke(1);
    request.config_version = 3;
    agent.executor->on_invoke(agent.router, request);
    CHECK(agent.router->all<wire::verdict>().empty());
    auto const asked = agent.router->all<wire::config_request>();
    REQUIRE(asked.size() == 1);
    CHECK(asked[0].known_version == 1);

    SECTION("the update allows the call")
    {
        agent.configuration->set(3);
        agent.executor->on_configuration(agent.router);
        CHECK_FALSE(only_verdict(*agent.router).refusal);
        CHECK(agent.endpoint->started.size() == 1);
    }
    SECTION("the update forbids the call")
    {
        agent.configuration->set(3, false);
        agent.executor->on_configuration(agent.router);
        CHECK(only_verdict(*agent.router).refusal->kind ==
              error_kind::not_eligible);
        CHECK(agent.endpoint->started.empty());
    }
    SECTION("the update is older than required")
    {
        agent.configuration->set(2);
        agent.executor->on_configuration(agent.router);
        CHECK(only_verdict(*agent.router).refusal->kind ==
              error_kind::stale_configuration);
    }
    SECTION("the update does not arrive")
    {
        agent.advance(60s);
        auto const refusal = only_verdict(*agent.router).refusal;
        CHECK(refusal->kind == error_kind::deadline_exceeded);
        CHECK(refusal->run == run_state::not_run);
    }
}

// Guards against traffic that the selectors forbid and against a version that
// the engine has not loaded.
TEST_CASE("calls that are not eligible for the endpoint are refused")
{
    agent_under_test agent;
    auto request = agent.make_invoke(1);
    SECTION("selectors")
    {
        agent.configuration->set(1, false);
    }
    SECTION("version")
    {
        request.version = kernel::model_version("v2");
    }
    SECTION("service")
    {
        request.target = wire::target_kind::service;
    }
    SECTION("engine unreachable")
    {
        agent.load->mark_engine_unreachable();
    }
    agent.executor->on_invoke(agent.router, request);
    auto const verdict = only_verdict(*agent.router);
    REQUIRE(verdict.refusal);
    CHECK(verdict.refusal->kind == error_kind::not_eligible);
    CHECK(verdict.refusal->run == run_state::not_run);
    CHECK(agent.endpoint->started.empty());
}

// Guards against a call that starts although the rules changed while it was
// queued.
TEST_CASE("a queued call is checked again before it starts")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.executor->on_invoke(agent.router, agent.make_invoke(2));
    agent.configuration->set(2, false);
    agent.endpoint->finish(0);
    CHECK(agent.endpoint->started.size() == 1);
    auto const ends = agent.router->all<wire::call_end>();
    REQUIRE(ends.size() == 2);
    auto const& failed = ends[0].call_id == 2 ? ends[0] : ends[1];
    CHECK(failed.failure->kind == error_kind::not_eligible);
    CHECK(failed.failure->run == run_state::not_run);
    CHECK(agent.queue->running() == 0);
}

// Guards against unbounded memory when a router does not acknowledge.
TEST_CASE("the endpoint is paused while the buffer is full")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.endpoint->send_chunk(0, std::string(fake_buffer::limit, 'x'));
    CHECK(agent.endpoint->paused.size() == 1);
    agent.executor->on_ack(agent.router, {1, 1});
    CHECK(agent.endpoint->paused.empty());
}

// Guards against an acknowledgement that releases chunks not yet sent.
TEST_CASE("an acknowledgement above the sent chunks is dropped")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.executor->on_ack(agent.router, {1, 5});
    agent.endpoint->send_chunk(0, "0");
    agent.executor->on_connection_closed(agent.router);
    agent.executor->on_resume(agent.other, {1, {1, 1}, 0});
    CHECK(agent.other->received_bytes() == "0");
}

// Guards against cancelled calls that keep occupying the queue or the endpoint.
TEST_CASE("a cancelled call frees its capacity")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.executor->on_invoke(agent.router, agent.make_invoke(2));
    agent.executor->on_cancel(agent.router, {2});
    auto const queued = only_end(*agent.router);
    CHECK(queued.outcome == wire::call_outcome::cancelled);
    CHECK(queued.failure->run == run_state::not_run);
    agent.executor->on_cancel(agent.router, {1});
    CHECK(agent.endpoint->cancelled.size() == 1);
    CHECK(agent.router->all<wire::call_end>()[1].failure->run ==
          run_state::unknown);
    CHECK(agent.queue->running() == 0);
    CHECK(agent.queue->queued() == 0);
}

// Guards against a keyed call that starts before its claim is confirmed.
TEST_CASE("a keyed call starts only after its claim is granted")
{
    agent_under_test agent;
    auto request = agent.make_invoke(1);
    request.idempotent = false;
    request.idempotency_key = "k";
    agent.executor->on_invoke(agent.router, request);
    CHECK_FALSE(only_verdict(*agent.router).refusal);
    CHECK(agent.endpoint->started.empty());

    SECTION("granted and complete")
    {
        agent.ledger->grant();
        agent.endpoint->send_chunk(0, "answer");
        agent.endpoint->finish(0);
        REQUIRE(agent.ledger->completed.size() == 1);
        CHECK(agent.ledger->completed[0]->body == "answer");
    }
    SECTION("granted, but the outcome is unknown")
    {
        agent.ledger->grant();
        agent.endpoint->finish(0, kernel::error{error_kind::outcome_unknown,
                                                "broken",
                                                run_state::unknown,
                                                {}});
        REQUIRE(agent.ledger->completed.size() == 1);
        CHECK_FALSE(agent.ledger->completed[0]);
    }
    SECTION("granted, but no byte was sent")
    {
        agent.ledger->grant();
        agent.endpoint->finish(0, kernel::error{error_kind::connection_lost,
                                                "refused",
                                                run_state::not_run,
                                                {}});
        CHECK(agent.ledger->completed.empty());
        CHECK(agent.ledger->released == 1);
    }
    SECTION("granted after the deadline")
    {
        agent.advance(60s);
        agent.ledger->grant();
        CHECK(agent.endpoint->started.empty());
        CHECK(agent.ledger->released == 1);
        CHECK(only_end(*agent.router).failure->run == run_state::not_run);
    }
    SECTION("granted after a cancel")
    {
        agent.executor->on_cancel(agent.router, {1});
        agent.ledger->grant();
        CHECK(agent.endpoint->started.empty());
        CHECK(agent.ledger->released == 1);
    }
    SECTION("the store is down")
    {
        agent.ledger->respond(kernel::error{error_kind::store_unavailable,
                                            "down", run_state::not_run,
                                            std::chrono::seconds(1)});
        CHECK(agent.endpoint->started.empty());
        auto const end = only_end(*agent.router);
        CHECK(end.failure->kind == error_kind::store_unavailable);
        CHECK(end.failure->retry_after == 1s);
    }
    SECTION("the response of an earlier attempt is replayed event by event")
    {
        agent.ledger->respond(
            admission::claim_decision(admission::stored_answer{
                200, "text/event-stream", "data: 1\n\ndata: 2\n\n"}));
        CHECK(agent.endpoint->started.empty());
        CHECK(agent.router->received_bytes() == "data: 1\n\ndata: 2\n\n");
        auto const end = only_end(*agent.router);
        CHECK(end.outcome == wire::call_outcome::complete);
        CHECK(end.chunks == 2);
        CHECK(end.http_status == 200);
    }
    CHECK(agent.queue->running() == 0);
}

// Guards against interrupted calls, and against new calls, while an endpoint is
// draining.
TEST_CASE("a draining agent refuses new calls and finishes accepted ones")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.executor->on_invoke(agent.router, agent.make_invoke(2));
    agent.executor->drain();
    CHECK(agent.load->latest().draining);
    agent.executor->on_invoke(agent.other, agent.make_invoke(3));
    auto const refused = only_verdict(*agent.other);
    CHECK(refused.refusal->kind == error_kind::draining);
    CHECK(refused.refusal->run == run_state::not_run);
    agent.endpoint->send_chunk(0, "0");
    agent.endpoint->finish(0);
    REQUIRE(agent.endpoint->started.size() == 2);
    agent.endpoint->finish(1);
    CHECK(agent.executor->open_calls() == 0);
    // The last chunk is not acknowledged yet.
    CHECK_FALSE(agent.executor->idle());
    agent.executor->on_ack(agent.router, {1, 1});
    CHECK(agent.executor->idle());
}

// Guards against an endpoint in need that gets calls at the usual rate. Its
// agent is the only process that sends to it, for all routers.
TEST_CASE("an endpoint that names a limit gets no more calls than that")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.endpoint->name_limit(0, availability::named_limit{1});
    agent.endpoint->finish(0);
    std::size_t refused = 0;
    constexpr std::size_t calls = 40;
    for (std::uint64_t n = 0; n < calls; ++n)
    {
        agent.advance(100ms);
        auto& from = n % 2 == 0 ? agent.router : agent.other;
        agent.executor->on_invoke(from, agent.make_invoke(2 + n));
        auto const verdict = from->all<wire::verdict>().back();
        if (!verdict.refusal)
        {
            agent.endpoint->finish(agent.endpoint->started.size() - 1);
            continue;
        }
        ++refused;
        CHECK(verdict.refusal->kind == error_kind::overloaded);
        CHECK(verdict.refusal->run == run_state::not_run);
        REQUIRE(verdict.refusal->retry_after);
        CHECK(*verdict.refusal->retry_after > 0ms);
        CHECK(*verdict.refusal->retry_after <= 1000ms);
        CHECK(verdict.load.queue_wait >= *verdict.refusal->retry_after);
    }
    // In 4 s, half as much again as the limit and 5 requests are allowed.
    CHECK(agent.endpoint->started.size() - 1 <= 11);
    CHECK(agent.endpoint->started.size() - 1 >= 3);
    CHECK(refused > 0);
}

// Guards against calls that were queued before the endpoint named its limit,
// and against a limit that outlasts what the endpoint says.
TEST_CASE("a limit holds for queued calls and ends with a later response")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.executor->on_invoke(agent.router, agent.make_invoke(2));
    REQUIRE(agent.endpoint->started.size() == 1);
    agent.endpoint->name_limit(0, availability::named_limit{2});
    agent.endpoint->finish(0);
    CHECK(agent.endpoint->started.size() == 1);
    auto const end = agent.router->all<wire::call_end>().back();
    REQUIRE(end.failure);
    CHECK(end.failure->kind == error_kind::overloaded);
    CHECK(end.failure->run == run_state::not_run);
    agent.advance(600ms);
    agent.executor->on_invoke(agent.router, agent.make_invoke(3));
    REQUIRE(agent.endpoint->started.size() == 2);
    agent.endpoint->name_limit(1, availability::no_limit());
    agent.endpoint->finish(1);
    agent.executor->on_invoke(agent.router, agent.make_invoke(4));
    CHECK(agent.endpoint->started.size() == 3);
    agent.endpoint->name_limit(2, availability::unreadable_limit());
    agent.endpoint->finish(2);
    agent.executor->on_invoke(agent.router, agent.make_invoke(5));
    CHECK(agent.endpoint->started.size() == 4);
}

// Guards against calls that reach an endpoint within the time for which it
// wants none, and against all routers' calls that come back at once.
TEST_CASE("an endpoint gets no calls for the time that it asked for")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    endpoint_notices notices;
    notices.pause = availability::requested_pause{2000ms, false};
    agent.endpoint->send_notices(0, notices);
    agent.endpoint->finish(0);
    for (std::uint64_t n = 0; n < 19; ++n)
    {
        agent.advance(100ms);
        agent.executor->on_invoke(agent.other, agent.make_invoke(2 + n));
        auto const verdict = agent.other->all<wire::verdict>().back();
        REQUIRE(verdict.refusal);
        CHECK(verdict.refusal->kind == error_kind::overloaded);
        CHECK(verdict.refusal->run == run_state::not_run);
        REQUIRE(verdict.refusal->retry_after);
        CHECK(*verdict.refusal->retry_after > 0ms);
        CHECK(verdict.load.queue_wait > 0ms);
    }
    CHECK(agent.endpoint->started.size() == 1);
    // The end of the pause is spread by a quarter of it.
    agent.advance(600ms);
    agent.executor->on_invoke(agent.router, agent.make_invoke(30));
    CHECK(agent.endpoint->started.size() == 2);
    agent.executor->on_invoke(agent.router, agent.make_invoke(31));
    CHECK(agent.router->all<wire::verdict>().back().refusal);
    agent.advance(1100ms);
    agent.executor->on_invoke(agent.router, agent.make_invoke(32));
    CHECK_FALSE(agent.router->all<wire::verdict>().back().refusal);
}

// Guards against calls that reach an endpoint after it has announced its exit,
// and against one that stays out of use after its restart.
TEST_CASE("an endpoint that is going to exit gets no calls until it restarts")
{
    agent_under_test agent;
    agent.executor->on_invoke(agent.router, agent.make_invoke(1));
    agent.executor->on_invoke(agent.router, agent.make_invoke(2));
    REQUIRE(agent.endpoint->started.size() == 1);
    endpoint_notices notices;
    notices.leaving = availability::leaving_notice::leaving;
    agent.endpoint->send_notices(0, notices);
    agent.endpoint->finish(0);
    // The call that was queued.
    auto const end = agent.router->all<wire::call_end>().back();
    REQUIRE(end.failure);
    CHECK(end.failure->run == run_state::not_run);
    agent.advance(60s);
    agent.executor->on_invoke(agent.router, agent.make_invoke(3));
    CHECK(agent.router->all<wire::verdict>().back().refusal);
    CHECK(agent.endpoint->started.size() == 1);
    engine_load loaded;
    loaded.incarnation = 8;
    loaded.capacity = 1;
    loaded.models = {{kernel::model_id("m"), kernel::model_version("v1")}};
    agent.load->update_engine_load(loaded);
    agent.executor->on_invoke(agent.router, agent.make_invoke(4));
    CHECK(agent.endpoint->started.size() == 2);
}

} // namespace endiveward::agent
