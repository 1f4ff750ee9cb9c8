#include "gateway/tests/support/silent_writer.hpp"
#include "gateway/tests/support/versioned_streams.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace endiveward::gateway
{

using namespace tests;

// Guards against streams that hold events of two software versions, which do
// not fit together.
TEST_CASE("a broken stream is resumed at the software version that began it")
{
    version_record record;
    scripted_endpoint old_one(break_new_streams(record, "v1"));
    scripted_endpoint old_two(break_new_streams(record, "v1"));
    scripted_endpoint new_one(break_new_streams(record, "v2"));
    scripted_endpoint new_two(break_new_streams(record, "v2"));
    test_gateway gate;
    gate.apply();
    gate.set_entries(
        {entry(0, old_one.port(), "v1"), entry(1, old_two.port(), "v1"),
         entry(2, new_one.port(), "v2"), entry(3, new_two.port(), "v2")});
    int complete = 0;
    for (int n = 0; n < streams; ++n)
    {
        test_caller caller(gate.port());
        caller.send(get_request("/resume/", "id" + std::to_string(n)));
        complete += caller.read_until("0\r\n\r\n").ends_with("0\r\n\r\n");
    }
    CHECK(record.mixed() == 0);
    CHECK(complete == streams);
}

TEST_CASE("a broken stream is cut if no other endpoint has its software "
          "version")
{
    version_record record;
    scripted_endpoint old_one(break_new_streams(record, "v1"));
    scripted_endpoint new_one(break_new_streams(record, "v2"));
    test_gateway gate;
    gate.apply();
    gate.set_entries(
        {entry(0, old_one.port(), "v1"), entry(1, new_one.port(), "v2")});
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", "id1"));
    auto const text = caller.read_until("0\r\n\r\n");
    CHECK(caller.ended());
    CHECK(text.find("id: 3\n") == std::string::npos);
    CHECK(old_one.requests() + new_one.requests() == 1);
}

// Guards against events of two software versions if an endpoint restarts under
// its id before the router learns of it.
TEST_CASE("a stream during which its endpoint changes its software version is "
          "not resumed")
{
    std::promise<void> changed;
    auto const seen = changed.get_future().share();
    auto const serve =
        [&](http_request const& request, scripted_connection& conn)
    {
        conn.begin_stream(request);
        conn.event(1);
        seen.wait_for(std::chrono::seconds(20));
        conn.event(2);
        conn.wait(short_pause);
        conn.reset();
        return false;
    };
    scripted_endpoint one(serve);
    scripted_endpoint two(serve);
    scripted_endpoint three(serve);
    test_gateway gate;
    gate.apply();
    gate.set_entries({entry(0, one.port(), "v1")});
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", "id1"));
    caller.read_until("id: 1\n");
    auto restarted = entry(0, one.port(), "v2");
    restarted.incarnation = 1;
    gate.set_entries(
        {restarted, entry(1, two.port(), "v1"), entry(2, three.port(), "v2")});
    changed.set_value();
    auto const text = caller.read_all();
    CHECK(text.find("id: 2\n") != std::string::npos);
    CHECK(one.requests() + two.requests() + three.requests() == 1);
}

// As above, if the router has learned of the restart from the endpoint's agent
// only, which does not know the version.
TEST_CASE("a stream does not go on at an endpoint that has restarted before it "
          "was listed anew")
{
    version_record record;
    std::promise<void> restarted;
    auto const seen = restarted.get_future().share();
    scripted_endpoint breaking(break_new_streams(record, "v1"));
    scripted_endpoint replaced(
        [&](http_request const& request, scripted_connection& conn)
        {
            conn.begin_stream(request);
            seen.wait_for(std::chrono::seconds(20));
            conn.event(3);
            conn.end_stream();
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_entries({entry(0, breaking.port(), "v1")});
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", "id1"));
    caller.read_until("id: 1\n");
    gate.set_entries(
        {entry(0, breaking.port(), "v1"), entry(1, replaced.port(), "v1")});
    for (int n = 0; n < 4000 && replaced.requests() == 0; ++n)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    REQUIRE(replaced.requests() == 1);
    wire::engine_state state;
    state.endpoint_incarnation = 1;
    gate.run([&]
             { gate.get().on_engine_state(kernel::endpoint_id("e1"), state); });
    restarted.set_value();
    CHECK(caller.read_all().find("id: 3\n") == std::string::npos);
}

// Guards against a restart of the endpoint while the connection to it is
// established.
TEST_CASE("a stream that goes on is not sent to an endpoint that changes its "
          "software version before that")
{
    version_record record;
    scripted_endpoint endpoint(break_new_streams(record, "v2"));
    test_gateway gate;
    gate.apply();
    gate.set_entries({entry(0, endpoint.port(), "v1")});
    silent_writer writer;
    std::shared_ptr<i_exchange> running;
    gate.run(
        [&]
        {
            http_request request;
            request.method = "GET";
            request.target = "/resume/";
            request.headers.add("Host", "h");
            request.headers.add("X-Id", "id1");
            request.headers.add("X-Time", "3000");
            request.headers.add("X-Key", "key1");
            request.headers.add("X-Last-Event", "2");
            running = gate.get().handle(std::move(request), writer);
            auto restarted = entry(0, endpoint.port(), "v2");
            restarted.incarnation = 1;
            gate.get().apply(std::vector<endpoint_entry>{restarted});
        });
    writer.ended.get_future().wait_for(std::chrono::seconds(20));
    CHECK(writer.status != 200);
    CHECK(endpoint.requests() == 0);
    gate.run([&] { running = nullptr; });
}

// As above, for streams that their callers take up.
TEST_CASE("a stream that a caller takes up goes on at the software version "
          "that began it")
{
    two_versions endpoints;
    test_gateway gate;
    gate.apply();
    gate.set_entries(endpoints.entries());
    int complete = 0;
    for (int n = 0; n < streams; ++n)
    {
        auto const id = "id" + std::to_string(n);
        // While the first connection is open, its endpoint has more load than
        // the other one.
        auto const first = begin_stream(gate, id);
        complete += take_up(gate, id).ends_with("0\r\n\r\n");
    }
    CHECK(endpoints.record.mixed() == 0);
    CHECK(complete == streams);
}

TEST_CASE("a stream of which no process knows the software version is refused "
          "while several serve")
{
    two_versions endpoints;
    test_gateway gate;
    gate.apply();
    gate.set_entries(endpoints.entries());
    auto const text = take_up(gate, "unknown");
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(text.find("Retry-After: ") != std::string::npos);
    CHECK(endpoints.requests() == 0);
}

// Guards against a resumption at an endpoint that has been replaced at its
// address, or has restarted under its id, with other software.
TEST_CASE(
    "a stream does not go on at an endpoint that has changed its software "
    "version")
{
    version_record record;
    scripted_endpoint endpoint(break_new_streams(record, "v1", long_pause));
    test_gateway gate;
    gate.apply();
    gate.set_entries({entry(0, endpoint.port(), "v1")});
    begin_stream(gate, "id1");
    auto const number = GENERATE(0, 1);
    auto changed =
        entry(static_cast<std::size_t>(number), endpoint.port(), "v2");
    changed.incarnation = 1;
    gate.set_entries({changed});
    auto const text = take_up(gate, "id1");
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(endpoint.requests() == 1);
}

// Load pattern: a router ends under traffic, and its callers take up their
// streams at routers that have not seen them, one of which has just started.
TEST_CASE("a stream that is taken up at another router goes on at the software "
          "version that began it")
{
    two_versions endpoints;
    origin_keeper agents;
    auto first = std::make_unique<test_gateway>();
    agents.connect(*first);
    first->apply();
    first->set_entries(endpoints.entries());
    std::vector<std::unique_ptr<test_caller>> callers;
    callers.reserve(streams);
    for (int n = 0; n < streams; ++n)
        callers.push_back(begin_stream(*first, "id" + std::to_string(n)));
    first = nullptr;
    test_gateway second;
    agents.connect(second);
    second.apply();
    second.set_entries(endpoints.entries());
    int complete = 0;
    for (int n = 0; n < streams; ++n)
        complete +=
            take_up(second, "id" + std::to_string(n)).ends_with("0\r\n\r\n");
    CHECK(endpoints.record.mixed() == 0);
    CHECK(complete == streams);
}

// Load pattern: a release begins while streams are open. Guards against streams
// that nobody knows of since they began at the only version.
TEST_CASE("streams that began before a second software version are told to "
          "agents when it appears")
{
    two_versions endpoints;
    origin_keeper agents;
    auto first = std::make_unique<test_gateway>();
    agents.connect(*first);
    first->apply();
    first->set_entries({entry(0, endpoints.old_one.port(), "v1")});
    auto const caller = begin_stream(*first, "id1");
    CHECK(agents.reports() == 0);
    first->set_entries(endpoints.entries());
    // The report follows a few milliseconds later.
    for (int n = 0; n < 400 && agents.reports() == 0; ++n)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    CHECK(agents.reports() == 1);
    first = nullptr;
    test_gateway second;
    agents.connect(second);
    second.apply();
    // The old version has gone meanwhile.
    second.set_entries({entry(1, endpoints.new_one.port(), "v2")});
    auto const text = take_up(second, "id1");
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(endpoints.record.mixed() == 0);
}

// Guards against refusing streams of a service with one version, and against
// messages for each of them.
TEST_CASE("streams of a service with one software version are taken up at any "
          "router and told to nobody")
{
    two_versions endpoints;
    origin_keeper agents;
    test_gateway first;
    test_gateway second;
    for (auto* it : {&first, &second})
    {
        agents.connect(*it);
        it->apply();
        it->set_entries({entry(0, endpoints.old_one.port(), "v1")});
    }
    auto const caller = begin_stream(first, "id1");
    CHECK(take_up(second, "id1").ends_with("0\r\n\r\n"));
    CHECK(agents.reports() == 0);
}

// Load pattern: a router is cut off from the others and has an old list.
TEST_CASE("a router whose agents are silent refuses to take up a stream of "
          "another one")
{
    two_versions endpoints;
    origin_keeper agents;
    test_gateway gate;
    agents.connect(gate);
    agents.fall_silent();
    gate.apply();
    gate.set_entries({entry(0, endpoints.old_one.port(), "v1")});
    auto const text = take_up(gate, "id1");
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(text.find("Retry-After: ") != std::string::npos);
    CHECK(endpoints.requests() == 0);
}

// Guards against a stream that is resumed elsewhere when the attempt that takes
// it up fails before its first event.
TEST_CASE("an attempt that takes up a stream and fails is repeated at the same "
          "software version")
{
    version_record record;
    auto const fail = [&](std::string const& version)
    {
        return [&record, version](http_request const& request,
                                  scripted_connection& conn)
        {
            record.add(stream_of(request), version);
            conn.reset();
            return false;
        };
    };
    scripted_endpoint failing(fail("v1"));
    scripted_endpoint old_one(break_new_streams(record, "v1"));
    scripted_endpoint new_one(break_new_streams(record, "v2"));
    origin_keeper agents;
    test_gateway gate;
    agents.connect(gate);
    gate.apply();
    gate.set_entries({entry(0, old_one.port(), "v1")});
    auto const caller = begin_stream(gate, "id1");
    // The endpoint that fails is the least loaded one of its version.
    gate.set_entries({entry(0, old_one.port(), "v1"),
                      entry(1, failing.port(), "v1"),
                      entry(2, new_one.port(), "v2")});
    CHECK(take_up(gate, "id1").ends_with("0\r\n\r\n"));
    CHECK(record.mixed() == 0);
}

// A route may send its requests to several services, chosen by their ids.
// Guards against a stream that goes on at another service.
TEST_CASE("a stream that is taken up goes on at its service")
{
    version_record record;
    scripted_endpoint one(break_new_streams(record, "v1 of s", long_pause));
    scripted_endpoint two(break_new_streams(record, "v1 of t", long_pause));
    test_gateway gate;
    gate.apply();
    route shared;
    shared.name = "resume";
    shared.host = "h";
    shared.prefix = "/resume/";
    shared.kind = route_kind::resumable_stream;
    shared.timeout = std::chrono::seconds(5);
    shared.target_latency = std::chrono::milliseconds(400);
    shared.max_attempts = 2;
    shared.is_public = true;
    shared.shares = {{kernel::service_id("s"), 1},
                     {kernel::service_id("t"), 1}};
    routing_config config;
    config.version = 2;
    config.routes = {shared};
    for (auto const* name : {"s", "t"})
    {
        service it;
        it.id = kernel::service_id(name);
        it.max_connections = 1000;
        config.services.push_back(it);
    }
    gate.run(
        [&]
        { gate.get().apply(std::make_shared<routing_table const>(config)); });
    auto other = entry(1, two.port(), "v1");
    other.service = kernel::service_id("t");
    gate.set_entries({entry(0, one.port(), "v1"), other});
    int complete = 0;
    for (int n = 0; n < streams; ++n)
    {
        auto const id = "id" + std::to_string(n);
        auto const first = begin_stream(gate, id);
        complete += take_up(gate, id).ends_with("0\r\n\r\n");
    }
    CHECK(record.mixed() == 0);
    CHECK(complete == streams);
    CHECK(one.requests() > 0);
    CHECK(two.requests() > 0);
}

// Callers of earlier versions name no request, and an empty name is none.
TEST_CASE("a stream that is taken up without naming its request goes on at the "
          "only software version")
{
    auto const* const field = GENERATE("", "X-Resumes:\r\n");
    two_versions endpoints;
    test_gateway gate;
    gate.apply();
    gate.set_entries({entry(0, endpoints.old_one.port(), "v1")});
    auto const ask = [&](std::string const& id)
    {
        test_caller caller(gate.port());
        caller.send(get_request("/resume/", id,
                                std::string("X-Last-Event: 2\r\n") + field +
                                    "Connection: close\r\n"));
        return caller.read_all();
    };
    CHECK(ask("id1").ends_with("0\r\n\r\n"));
    gate.set_entries(endpoints.entries());
    CHECK(ask("id2").starts_with("HTTP/1.1 503"));
}

} // namespace endiveward::gateway
