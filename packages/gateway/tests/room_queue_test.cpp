#include "gateway/endpoint_directory.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/room_queue.hpp"
#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"
#include "gateway/types/held_request.hpp"
#include "gateway/types/placement_choice.hpp"
#include "kernel/manual_clock.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr engine_properties engine{64, 10000, 1};
constexpr char const* prompt = "X-Model: m\r\nX-Tokens: 6000,10\r\n";

bool answer_stream(http_request const& request, scripted_connection& conn)
{
    conn.begin_stream(request);
    conn.event(1);
    conn.end_stream();
    return true;
}

void report_memory(test_gateway& gate, std::uint64_t used)
{
    wire::engine_state state;
    state.memory_used = used;
    gate.run([&]
             { gate.get().on_engine_state(kernel::endpoint_id("e0"), state); });
}

/// Targets leave a second for waiting.
void configure(test_gateway& gate, scripted_endpoint const& endpoint)
{
    gate.apply(1, std::chrono::seconds(5), engine, milliseconds(2000));
    gate.set_endpoints({endpoint.port()});
}

/// A queue whose events run when the test says so.
struct queue_fixture
{
    queue_fixture()
    {
        via.target_latency = milliseconds(500);
        requirements.service = kernel::service_id("s");
        requirements.max_wait = milliseconds(150);
        lacking.endpoint =
            std::make_shared<endpoint_record>(test_gateway::entry(0, 1000));
        lacking.fits_memory = false;
        queue->set_switch(room::room_switch::on);
        clock.advance(std::chrono::seconds(100));
    }

    /// The request notes that it was its turn, and leaves.
    void hold(std::string const& id, int arrived_ms = 0)
    {
        auto const n = places.size();
        places.push_back(nullptr);
        auto const now = clock.now() + milliseconds(arrived_ms);
        queue->decide(places[n],
                      {id, via, nullptr, 1, requirements, now,
                       now + std::chrono::seconds(3), n, 0, milliseconds(150)},
                      lacking,
                      [this, n, id]
                      {
                          asked.push_back(id);
                          places[n].reset();
                      });
    }

    std::size_t run_events()
    {
        context.restart();
        return context.poll();
    }

    kernel::manual_clock clock;
    asio::io_context context;
    prometheus::Registry registry;
    gateway_metrics metrics{registry};
    observe::decision_log log{clock, "test", 0};
    endpoint_directory endpoints{[](auto const&) { return nullptr; }};
    std::shared_ptr<room_queue> queue = std::make_shared<room_queue>(
        context, clock, endpoints, 45, metrics, log);
    route via;
    endpoint_requirements requirements;
    placement_choice lacking;
    std::vector<std::unique_ptr<room_place>> places;
    std::vector<std::string> asked;
};

} // namespace

// Guards against requests that wait although capacity has become free.
TEST_CASE("waiting requests ask again in order when capacity becomes free")
{
    queue_fixture fixture;
    fixture.hold("later", 150);
    fixture.hold("sooner");
    fixture.run_events();
    CHECK(fixture.asked.empty());
    fixture.queue->on_capacity();
    fixture.queue->on_capacity();
    CHECK(fixture.run_events() == 1);
    CHECK(fixture.asked == std::vector<std::string>{"sooner", "later"});
}

// Guards against a cost of each answer and report while nothing waits.
TEST_CASE("without waiting requests nothing is done for an event")
{
    queue_fixture fixture;
    fixture.queue->on_capacity();
    CHECK(fixture.run_events() == 0);
    fixture.hold("id");
    fixture.places.clear();
    fixture.queue->on_capacity();
    CHECK(fixture.run_events() == 0);
    CHECK(fixture.asked.empty());
}

// Guards against a deployment without limits that is served differently.
TEST_CASE("without shared capacity nothing waits")
{
    auto const value =
        GENERATE(room::room_switch::automatic, room::room_switch::off);
    scripted_endpoint endpoint(answer_stream);
    test_gateway gate(value);
    configure(gate, endpoint);
    report_memory(gate, 9000);
    test_caller caller(gate.port());
    caller.send(get_request("/stream/", "id1", prompt));
    CHECK(caller.read_until("id: 1").starts_with("HTTP/1.1 200"));
}

// Load pattern: the memory of all engines is in use. Guards against a request
// that an engine rejects, and one that is refused although memory becomes free
// in time.
TEST_CASE("a request waits until a report shows free memory")
{
    scripted_endpoint endpoint(answer_stream);
    test_gateway gate(room::room_switch::on);
    configure(gate, endpoint);
    report_memory(gate, 9000);
    test_caller caller(gate.port());
    caller.send(get_request("/stream/", "id1", prompt));
    std::this_thread::sleep_for(milliseconds(150));
    CHECK(endpoint.requests() == 0);
    report_memory(gate, 0);
    CHECK(caller.read_until("id: 1").starts_with("HTTP/1.1 200"));
}

TEST_CASE("a request waits until another one ends")
{
    std::atomic<bool> may_end{false};
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            while (!may_end)
                conn.wait(milliseconds(5));
            return answer_stream(request, conn);
        });
    test_gateway gate(room::room_switch::on);
    configure(gate, endpoint);
    test_caller first(gate.port());
    first.send(get_request("/stream/", "id1", prompt));
    for (int n = 0; n < 400 && endpoint.requests() == 0; ++n)
        std::this_thread::sleep_for(milliseconds(5));
    REQUIRE(endpoint.requests() == 1);
    test_caller second(gate.port());
    second.send(get_request("/stream/", "id2", prompt));
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(endpoint.requests() == 1);
    may_end = true;
    CHECK(first.read_until("id: 1").starts_with("HTTP/1.1 200"));
    CHECK(second.read_until("id: 1").starts_with("HTTP/1.1 200"));
}

// Guards against a wait without end, and a refusal that is not true.
TEST_CASE("a request that finds no capacity is refused as not run")
{
    scripted_endpoint endpoint(answer_stream);
    test_gateway gate(room::room_switch::on);
    configure(gate, endpoint);
    report_memory(gate, 9000);
    test_caller caller(gate.port());
    auto const start = std::chrono::steady_clock::now();
    caller.send(get_request("/stream/", "id1", prompt));
    auto const text = caller.read_until("overloaded");
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(text.find("Retry-After: ") != std::string::npos);
    // Before its deadline of 3 s.
    CHECK(std::chrono::steady_clock::now() - start < milliseconds(2900));
    CHECK(endpoint.requests() == 0);
}

// Guards against requests of callers that have left.
TEST_CASE("the wait ends when the caller leaves")
{
    scripted_endpoint endpoint(answer_stream);
    test_gateway gate(room::room_switch::on);
    configure(gate, endpoint);
    report_memory(gate, 9000);
    {
        test_caller caller(gate.port());
        caller.send(get_request("/stream/", "id1", prompt));
        std::this_thread::sleep_for(milliseconds(100));
        caller.close();
    }
    std::this_thread::sleep_for(milliseconds(100));
    report_memory(gate, 0);
    test_caller other(gate.port());
    other.send(get_request("/stream/", "id2", prompt));
    CHECK(other.read_until("id: 1").starts_with("HTTP/1.1 200"));
    CHECK(endpoint.requests() == 1);
}

} // namespace endiveward::gateway
