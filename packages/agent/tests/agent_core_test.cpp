#include "agent/internal/agent_core.hpp"
#include "agent/tests/fake_engine.hpp"
#include "agent/tests/fakes.hpp"
#include "kernel/seeded_random_source.hpp"
#include "kernel/system_clock.hpp"
#include "kernel/thread_pool.hpp"
#include "storage/tests/support/fake_table.hpp"
#include "wire/connector.hpp"
#include "wire/i_connection_observer.hpp"
#include "wire/i_local_identity.hpp"
#include "wire/types/wire_counters.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <prometheus/registry.h>

#include <condition_variable>
#include <functional>
#include <future>
#include <mutex>

namespace endiveward::agent
{

namespace
{

constexpr std::chrono::seconds test_timeout{30};
std::string const key(wire::cluster_key::min_bytes, 'k');

class router_identity : public wire::i_local_identity
{
public:
    wire::hello describe() const override
    {
        wire::hello hello;
        hello.process = kernel::process_id("router");
        hello.config_version = 1;
        return hello;
    }
};

class router_observer : public wire::i_connection_observer
{
public:
    void on_open(std::shared_ptr<wire::i_connection> const&) override {}
    void on_message(std::shared_ptr<wire::i_connection> const&,
                    wire::message msg) override
    {
        std::lock_guard const lock(mutex_);
        messages_.push_back(std::move(msg));
        changed_.notify_all();
    }
    void on_closed(std::shared_ptr<wire::i_connection> const&,
                   kernel::error const&) override
    {
    }

    /// Waits until at least `count` messages of a type were received and
    /// returns them.
    template <typename T>
    std::vector<T> wait_for(std::size_t count)
    {
        std::vector<T> found;
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, test_timeout,
                          [&]
                          {
                              found.clear();
                              for (auto const& it : messages_)
                              {
                                  if (std::holds_alternative<T>(it))
                                      found.push_back(std::get<T>(it));
                              }
                              return found.size() >= count;
                          });
        REQUIRE(found.size() >= count);
        return found;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<wire::message> messages_;
};

/// The router's side of a connection to the agent.
struct router_link
{
    router_link(kernel::thread_pool& pool, std::uint16_t port)
    {
        options->key.bytes = key;
        options->identity = std::make_shared<router_identity>();
        options->random = std::make_shared<kernel::seeded_random_source>(2);
        options->counters = std::make_shared<wire::wire_counters>();
        options->observer = observer;
        using result = kernel::result<std::shared_ptr<wire::i_connection>>;
        std::promise<result> promise;
        wire::connector(options).connect(
            pool.context(0), "127.0.0.1", port,
            [&](result res) { promise.set_value(std::move(res)); });
        auto res = promise.get_future().get();
        REQUIRE(kernel::ok(res));
        conn = kernel::value(std::move(res));
    }

    std::shared_ptr<router_observer> observer =
        std::make_shared<router_observer>();
    std::shared_ptr<wire::connection_options> options =
        std::make_shared<wire::connection_options>();
    std::shared_ptr<wire::i_connection> conn;
};

/// An agent that serves a plain service.
struct service_agent
{
    explicit service_agent(std::string const& url)
    {
        config::agent_settings settings;
        settings.common.listen_peers.host = "127.0.0.1";
        settings.common.cluster_key.bytes = key;
        settings.endpoint = kernel::endpoint_id("gate-1");
        settings.kind = config::endpoint_kind::service;
        settings.service = kernel::service_id("gate");
        settings.endpoint_url = url;
        agent_dependencies dependencies;
        dependencies.clock = std::make_shared<kernel::system_clock>();
        dependencies.random = std::make_shared<kernel::seeded_random_source>(1);
        dependencies.traffic = traffic;
        dependencies.metrics = std::make_shared<prometheus::Registry>();
        dependencies.configuration = std::make_shared<fake_config_state>();
        dependencies.table = table;
        dependencies.on_drained = [this] { drained.set_value(); };
        core.emplace(settings, dependencies);
        traffic->start();
        routers.start();
        auto const res = core->start();
        REQUIRE(kernel::ok(res));
        port = kernel::value(res);
    }
    ~service_agent()
    {
        core->stop();
        routers.stop();
        traffic->stop();
    }

    static wire::invoke make_invoke(std::uint64_t call_id)
    {
        wire::invoke it;
        it.call_id = call_id;
        it.stream_id = {9, call_id};
        it.workspace = kernel::workspace_id("w");
        it.service = kernel::service_id("gate");
        it.target = wire::target_kind::service;
        it.method = "POST";
        it.path = "/check";
        it.body = "{}";
        it.deadline = std::chrono::seconds(60);
        it.config_version = 1;
        return it;
    }

    std::shared_ptr<kernel::thread_pool> traffic =
        std::make_shared<kernel::thread_pool>(1);
    kernel::thread_pool routers{1};
    std::shared_ptr<storage::tests::fake_table> table =
        std::make_shared<storage::tests::fake_table>();
    std::promise<void> drained;
    std::optional<agent_core> core;
    std::uint16_t port = 0;
};

} // namespace

// Guards against a truncated or repeated response when the router's TCP
// connection breaks in the middle of it.
TEST_CASE("a response is resumed on a new TCP connection")
{
    fake_engine service({fake_engine::prepared_response{
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n"
        "Connection: close\r\n\r\nfirst-",
        "second"}});
    service_agent agent(service.url());
    router_link first(agent.routers, agent.port);
    first.conn->send(service_agent::make_invoke(1));
    CHECK_FALSE(first.observer->wait_for<wire::verdict>(1)[0].refusal);
    CHECK(first.observer->wait_for<wire::chunk>(1)[0].bytes == "first-");
    first.conn->close();

    router_link second(agent.routers, agent.port);
    second.conn->send(wire::resume{4, {9, 1}, 1});
    service.release();
    auto const end = second.observer->wait_for<wire::call_end>(1)[0];
    CHECK(end.call_id == 4);
    CHECK(end.outcome == wire::call_outcome::complete);
    CHECK(end.chunks == 2);
    auto const chunks = second.observer->wait_for<wire::chunk>(1);
    REQUIRE(chunks.size() == 1);
    CHECK(chunks[0].number == 1);
    CHECK(chunks[0].bytes == "second");
    CHECK(service.requests().size() == 1);
}

// Guards against running a keyed call twice, and against a planned stop that
// finishes before the responses are delivered.
TEST_CASE("a keyed call runs once and a drain waits for its response")
{
    fake_engine service({{json_response("200 OK", "{\"pass\":true}")},
                         {json_response("200 OK", "{\"pass\":false}")}});
    service_agent agent(service.url());
    router_link router(agent.routers, agent.port);
    for (std::uint64_t const call_id : {1, 2})
    {
        auto request = service_agent::make_invoke(call_id);
        request.idempotency_key = "key";
        router.conn->send(request);
        auto const end =
            router.observer->wait_for<wire::call_end>(call_id)[call_id - 1];
        CHECK(end.outcome == wire::call_outcome::complete);
        CHECK(end.http_status == 200);
        auto const chunks = router.observer->wait_for<wire::chunk>(call_id);
        CHECK(chunks[call_id - 1].bytes == "{\"pass\":true}");
    }
    CHECK(service.requests().size() == 1);

    agent.core->drain();
    router.observer->wait_for<wire::draining>(1);
    CHECK_FALSE(agent.core->ready());
    router.conn->send(wire::chunk_ack{1, 1});
    router.conn->send(wire::chunk_ack{2, 1});
    CHECK(agent.drained.get_future().wait_for(test_timeout) ==
          std::future_status::ready);
    auto const state = agent.core->state()->dump();
    CHECK(state.at("draining") == true);
    CHECK(state.at("endpoint") == "gate-1");
}

} // namespace endiveward::agent
