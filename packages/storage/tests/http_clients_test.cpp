#include "storage/http_client.hpp"
#include "storage/http_object_store.hpp"
#include "storage/http_table.hpp"
#include "storage/http_vm_list.hpp"
#include "storage/tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <future>
#include <memory>
#include <thread>

using namespace endiveward;
using storage::tests::scripted_server;

namespace
{

// Long enough that it only ends a request that really gets no answer.
constexpr std::chrono::milliseconds long_timeout{30'000};

template <typename T, typename Start>
kernel::result<T> await(Start const& start)
{
    auto const promise = std::make_shared<std::promise<kernel::result<T>>>();
    start([promise](kernel::result<T> res)
          { promise->set_value(std::move(res)); });
    return promise->get_future().get();
}

struct clients
{
    scripted_server server;
    std::shared_ptr<storage::http_client> http =
        std::make_shared<storage::http_client>();
    storage::http_table table{http, server.url()};
    storage::http_object_store objects{http, server.url()};
    storage::http_vm_list vms{http, server.url()};

    kernel::result<storage::transaction_outcome>
    commit(std::chrono::milliseconds timeout = long_timeout)
    {
        return await<storage::transaction_outcome>(
            [&](auto on_done)
            {
                table.commit({{{"a", 0}, {"b", 7}}, {{"a", "x"}, {"b", {}}}},
                             timeout, on_done);
            });
    }

    kernel::result<std::optional<storage::row>> read(std::string const& key)
    {
        return await<std::optional<storage::row>>(
            [&](auto on_done) { table.read(key, long_timeout, on_done); });
    }
};

/// A loopback port that nothing listens on.
std::string refused_url()
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    return "http://127.0.0.1:" +
           std::to_string(acceptor.local_endpoint().port());
}

std::string body_of(std::string const& request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

} // namespace

TEST_CASE("a transaction is sent and answered as published", "[http_table]")
{
    // Guards against a request or answer that the platform reads differently.
    clients it;
    it.server.push_response(200, R"({"committed":true})");
    it.server.push_response(409, R"({"committed":false,"failed_keys":["b"]})");
    auto const won = it.commit();
    REQUIRE(kernel::ok(won));
    CHECK(kernel::value(won).committed);
    auto const lost = it.commit();
    REQUIRE(kernel::ok(lost));
    CHECK_FALSE(kernel::value(lost).committed);
    CHECK(kernel::value(lost).failed_keys == std::vector<std::string>{"b"});
    auto const request = it.server.requests().at(0);
    CHECK(request.find("POST /v1/transactions HTTP/1.1\r\n") == 0);
    CHECK(nlohmann::json::parse(body_of(request)) ==
          nlohmann::json::parse(
              R"({"conditions":[{"key":"a","version":0},
                                {"key":"b","version":7}],
                  "writes":[{"key":"a","value":"x"},
                            {"key":"b","value":null}]})"));
}

TEST_CASE("the newest era of all answers is kept", "[http_table]")
{
    // Guards against a restore of the table that its users cannot notice, and
    // against a late answer that takes the era back.
    clients it;
    CHECK(it.table.era() == 0);
    it.server.push_response(404, "", "Table-Era: 7\r\n");
    it.server.push_response(503, "", "Table-Era: 8\r\n");
    it.server.push_response(404, "", "Table-Era: 7\r\n");
    it.server.push_response(404, "");
    std::vector<std::uint64_t> eras;
    for (int n = 0; n < 4; ++n)
    {
        it.read("k");
        eras.push_back(it.table.era());
    }
    CHECK(eras == std::vector<std::uint64_t>{7, 8, 8, 8});
}

TEST_CASE("only refused connections and 503 are not run", "[http_table]")
{
    // Guards against "not run" for a transaction that may have taken effect.
    struct indefinite
    {
        scripted_server::step step;
        kernel::run_state run;
    };
    auto const it = GENERATE(values<indefinite>({
        {{"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", true, false},
         kernel::run_state::not_run},
        {{"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", true, false},
         kernel::run_state::unknown},
        {{"HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n", true, false},
         kernel::run_state::unknown},
        {{"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\n{}", true, false},
         kernel::run_state::unknown},
        {{"HTTP/1.1 200 x\r\nContent-Length: 1\r\n\r\n{", true, false},
         kernel::run_state::unknown},
        {{"HTTP/1.1 409 x\r\nContent-Length: 18\r\n\r\n{\"committed\":true}",
          true, false},
         kernel::run_state::unknown},
        {{"HTTP/1.1 200 x\r\nContent-Length: 18\r\n\r\n{\"committed\"", true,
          false},
         kernel::run_state::unknown},
        {{"HTTP/1.1 20", true, false}, kernel::run_state::unknown},
        {{"", true, false}, kernel::run_state::unknown},
    }));
    INFO(it.step.answer);
    clients client;
    client.server.push(it.step);
    auto const res = client.commit();
    REQUIRE_FALSE(kernel::ok(res));
    CHECK(kernel::failure(res).kind == kernel::error_kind::store_unavailable);
    CHECK(kernel::failure(res).run == it.run);
    CHECK(client.server.requests().size() == 1);
}

TEST_CASE("a refused connection is not run", "[http_table]")
{
    // Guards against a needless "unknown" while the store is down.
    auto const http = std::make_shared<storage::http_client>();
    storage::http_table table(http, refused_url());
    auto const res = await<storage::transaction_outcome>(
        [&](auto on_done) { table.commit({}, long_timeout, on_done); });
    REQUIRE_FALSE(kernel::ok(res));
    CHECK(kernel::failure(res).kind == kernel::error_kind::store_unavailable);
    CHECK(kernel::failure(res).run == kernel::run_state::not_run);
}

TEST_CASE("a request that times out after it was sent is unknown",
          "[http_table]")
{
    // Guards against "not run" after a time-out. The client is stopped once
    // the server has the request, so that the result does not depend on time.
    scripted_server server;
    server.push({"", true, true});
    auto http = std::make_shared<storage::http_client>();
    std::promise<kernel::run_state> run;
    storage::http_table(http, server.url())
        .commit({}, long_timeout,
                [&](auto const& res)
                { run.set_value(kernel::failure(res).run); });
    while (server.requests().empty())
        std::this_thread::yield();
    http.reset();
    CHECK(run.get_future().get() == kernel::run_state::unknown);
}

TEST_CASE("a transaction is never repeated on a broken connection",
          "[http_table]")
{
    // Guards against libcurl's repetition on reused connections: the second
    // try would find the first one's writes and be answered "not committed".
    clients it;
    it.server.push_response(404, "", "", false);
    it.server.push({"", true, false});
    it.server.push_response(409, R"({"committed":false,"failed_keys":["a"]})");
    // Leaves an open connection that a careless client would reuse.
    REQUIRE(kernel::ok(it.read("k")));
    auto const res = it.commit();
    REQUIRE_FALSE(kernel::ok(res));
    CHECK(kernel::failure(res).run == kernel::run_state::unknown);
    std::size_t commits = 0;
    for (auto const& request : it.server.requests())
        commits += request.starts_with("POST") ? 1 : 0;
    CHECK(commits == 1);
}

// Guards against a store that stops inside the head of its response: its empty
// body would be an object without bytes, or a row that does not exist.
TEST_CASE("a head that breaks off is no response", "[http_client]")
{
    clients it;
    std::string const heads[]{
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Last: 1\r\n\r\n",
        "HTTP/1.1 404 X\r\nX-Last: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 X\r\nX-Last: 1\r\n\r\n",
        "HTTP/1.1 503 X\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
        std::string("HTTP/1.1 100 Continue\r\n\r\n") +
            "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"};
    for (auto const& head : heads)
    {
        for (std::size_t n = 1; n < head.size(); ++n)
        {
            auto const cut = head.substr(0, n);
            CAPTURE(cut);
            it.server.push({cut, true, false});
            auto const res = await<std::optional<std::string>>(
                [&](auto on_done)
                { it.objects.get("k", long_timeout, on_done); });
            REQUIRE_FALSE(kernel::ok(res));
            CHECK(kernel::failure(res).run == kernel::run_state::unknown);
        }
    }
}

// Guards against an object that breaks off and looks complete.
TEST_CASE("a response without a length is no response", "[http_client]")
{
    clients it;
    it.server.push({"HTTP/1.1 200 OK\r\n\r\nhalf of an obj", true, false});
    auto const res = await<std::optional<std::string>>(
        [&](auto on_done) { it.objects.get("k", long_timeout, on_done); });
    REQUIRE_FALSE(kernel::ok(res));
    CHECK(kernel::failure(res).run == kernel::run_state::unknown);
}

// Guards against bytes that are no response and are taken for an object.
TEST_CASE("what is no valid response is no object", "[http_client]")
{
    clients it;
    std::string const end = "Content-Length: 2\r\n\r\nok";
    std::string const responses[]{
        "HTTP/1.1 000 X\r\n" + end,
        "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
        "HTTP/1.1 101 X\r\n" + end,
        "HTTP/1.1 999 X\r\n" + end,
        "HTTP/2.0 200 OK\r\n" + end,
        "HTTP/1.1 200 O\x01K\r\n" + end,
        "HTTP/1.1 200 OK\r\nX Field: b\r\n" + end,
        "HTTP/1.1 200 OK\r\nX-Field : b\r\n" + end,
        "HTTP/1.1 200 OK\r\nX\x01: b\r\n" + end,
        "HTTP/1.1 200 OK\r\nX: a\x01\r\n" + end,
        "HTTP/1.1 200 OK\r\nX\r\n" + end,
        "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n" + end,
        "HTTP/1.1 200 OK\r\nX: a\rContent-Length: 1\r\n" + end,
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + end,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok"};
    for (auto const& bytes : responses)
    {
        CAPTURE(bytes);
        it.server.push({bytes, true, false});
        auto const res = await<std::optional<std::string>>(
            [&](auto on_done) { it.objects.get("k", long_timeout, on_done); });
        REQUIRE_FALSE(kernel::ok(res));
        CHECK(kernel::failure(res).run == kernel::run_state::unknown);
    }
}

TEST_CASE("rows are read and scanned", "[http_table]")
{
    // Guards against keys that are not encoded and rows that are not found.
    clients it;
    it.server.push_response(200, R"({"key":"a/b &","value":"v","version":3})");
    it.server.push_response(404, "");
    it.server.push_response(
        200, R"({"rows":[{"key":"k1","value":"","version":1}]})");
    it.server.push_response(503, "", "Retry-After: 7\r\n");
    auto const found = it.read("a/b &");
    REQUIRE(kernel::ok(found));
    CHECK(kernel::value(found) == storage::row{"a/b &", "v", 3});
    auto const absent = it.read("k");
    REQUIRE(kernel::ok(absent));
    CHECK_FALSE(kernel::value(absent));
    auto const rows = await<std::vector<storage::row>>(
        [&](auto on_done)
        { it.table.scan("k", "k0", 5, long_timeout, on_done); });
    REQUIRE(kernel::ok(rows));
    CHECK(kernel::value(rows) == std::vector<storage::row>{{"k1", "", 1}});
    auto const busy = it.read("k");
    REQUIRE_FALSE(kernel::ok(busy));
    CHECK(kernel::failure(busy).retry_after == std::chrono::seconds(7));
    CHECK(it.server.requests().at(0).find(
              "GET /v1/row?key=a%2Fb%20%26 HTTP/1.1\r\n") == 0);
    CHECK(it.server.requests().at(2).find(
              "GET /v1/rows?prefix=k&after=k0&limit=5 HTTP/1.1\r\n") == 0);
}

TEST_CASE("objects keep their bytes", "[http_object_store]")
{
    // Guards against bytes that are cut at a zero or changed.
    std::string const bytes("a\0b\xff\n", 5);
    clients it;
    it.server.push_response(200, "");
    it.server.push_response(200, bytes);
    it.server.push_response(404, "");
    auto const stored = await<kernel::done>(
        [&](auto on_done)
        { it.objects.put("k", bytes, long_timeout, on_done); });
    CHECK(kernel::ok(stored));
    auto const get = [&]
    {
        return await<std::optional<std::string>>(
            [&](auto on_done) { it.objects.get("k", long_timeout, on_done); });
    };
    CHECK(kernel::value(get()) == bytes);
    CHECK_FALSE(kernel::value(get()));
    auto const request = it.server.requests().at(0);
    CHECK(request.find("PUT /v1/object?key=k HTTP/1.1\r\n") == 0);
    CHECK(body_of(request) == bytes);
}

TEST_CASE("the list of VMs is read", "[http_vm_list]")
{
    // Guards against a list that fails as a whole for a role that is new.
    clients it;
    it.server.push_response(200, R"({"vms":[
        {"id":"v1","role":"agent","address":"127.0.0.1","port":7000,
         "region":"r","zone":"z","endpoint":"e","leaving":true},
        {"id":"v2","role":"new","address":"127.0.0.1","port":1,"region":"r",
         "zone":"z","endpoint":null,"leaving":false}]})");
    auto const res = await<std::vector<storage::vm>>(
        [&](auto on_done) { it.vms.list(long_timeout, on_done); });
    REQUIRE(kernel::ok(res));
    auto const& vms = kernel::value(res);
    REQUIRE(vms.size() == 2);
    CHECK(vms[0].role == storage::vm_role::agent);
    CHECK(vms[0].endpoint.str() == "e");
    CHECK(vms[0].leaving);
    CHECK(vms[1].role == storage::vm_role::other);
}

// Guards against the end of the process with "Resource deadlock avoided": a
// handler held the last reference to the client, whose thread then waited for
// itself. `endiveward config show` ended that way now and then.
// Guards against a list that fails as a whole, or an address that was never
// listed, because of one entry that cannot be read.
TEST_CASE("an entry that cannot be read does not hide other VMs",
          "[http_vm_list]")
{
    std::string const sound =
        R"({"id":"v1","role":"agent","address":"127.0.0.1","port":7000,
            "region":"r","zone":"z","endpoint":"e"})";
    auto const with_port = [](std::string const& port)
    {
        return R"({"id":"v2","role":"agent","address":"127.0.0.1","port":)" +
               port + R"(,"region":"r","zone":"z","endpoint":"e2"})";
    };
    std::string const odd[]{with_port("70000"),
                            with_port("0"),
                            with_port("-1"),
                            with_port("1.5"),
                            with_port("\"1\""),
                            with_port("null"),
                            "null",
                            "7",
                            "[]",
                            "{}",
                            R"({"id":"v2"})",
                            R"({"id":7,"role":"agent","address":"127.0.0.1",
                                "port":7,"region":"r","zone":"z"})",
                            R"({"id":"v2","role":[],"address":"127.0.0.1",
                                "port":7,"region":"r","zone":"z"})",
                            R"({"id":"v2","role":"agent","address":"127.0.0.1",
                                "port":7,"region":"r","zone":"z",
                                "leaving":"x"})"};
    clients it;
    for (auto const& entry : odd)
    {
        CAPTURE(entry);
        auto const list =
            fmt::format(R"({{"vms":[{},{},{}]}})", entry, sound, entry);
        it.server.push_response(200, list);
        auto const res = await<std::vector<storage::vm>>(
            [&](auto on_done) { it.vms.list(long_timeout, on_done); });
        CHECK(kernel::ok(res));
        if (!kernel::ok(res))
            continue;
        CHECK(kernel::value(res).size() == 1);
        CHECK(kernel::value(res).front().id.str() == "v1");
    }
}

TEST_CASE("a client may be destroyed by its last handler", "[http_client]")
{
    auto client = std::make_shared<storage::http_client>();
    std::weak_ptr<storage::http_client> const alive = client;
    std::promise<void> released;
    storage::http_request request;
    request.url = refused_url();
    client->send(std::move(request),
                 [client, wait = released.get_future().share()](
                     kernel::result<storage::http_response> const&)
                 { wait.wait(); });
    client.reset();
    released.set_value();
    for (auto n = 0; n < 3000 && !alive.expired(); ++n)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK(alive.expired());
}
