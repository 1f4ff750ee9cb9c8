#include "observe/i_state_source.hpp"
#include "observe/operator_server.hpp"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <atomic>
#include <vector>

namespace endiveward::observe
{

namespace
{

class fixed_source : public i_state_source
{
public:
    std::string_view section() const override { return "members"; }
    nlohmann::json dump() const override { return {{"connections", 3}}; }
};

std::string send_request(std::uint16_t port, std::string const& request)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(request));
    std::string answer;
    std::error_code ec;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    return answer;
}

struct server_under_test
{
    server_under_test()
    {
        auto& family = prometheus::BuildCounter()
                           .Name("endiveward_test_total")
                           .Register(*metrics);
        family.Add({}).Increment();
        operator_server_options options;
        options.address = "127.0.0.1";
        options.token = "secret-token";
        options.metrics = metrics;
        options.sources = {std::make_shared<fixed_source>()};
        options.ready = [this] { return ready.load(); };
        server = std::make_unique<operator_server>(std::move(options));
        auto const started = server->start();
        REQUIRE(kernel::ok(started));
        port = kernel::value(started);
    }

    std::string get(std::string const& path, std::string const& token)
    {
        return send_request(port, "GET " + path +
                                      " HTTP/1.1\r\nHost: test\r\n"
                                      "Connection: close\r\n"
                                      "Authorization: Bearer " +
                                      token + "\r\n\r\n");
    }

    std::shared_ptr<prometheus::Registry> metrics =
        std::make_shared<prometheus::Registry>();
    std::atomic<bool> ready{false};
    std::unique_ptr<operator_server> server;
    std::uint16_t port = 0;
};

bool has_status(std::string const& answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status));
}

} // namespace

// Guards against metrics or state being readable without the token, also with
// a prefix or an extension of it.
TEST_CASE("operators' paths need the exact token")
{
    server_under_test test;
    for (auto const* token : {"", "secret-toke", "secret-token2", "other"})
    {
        for (auto const* path : {"/metrics", "/state", "/state/members"})
            CHECK(has_status(test.get(path, token), 401));
    }
    CHECK(has_status(test.get("/metrics", "secret-token"), 200));
}

// Guards against a server without a configured token that lets all in.
TEST_CASE("an empty configured token admits nobody")
{
    operator_server_options options;
    options.address = "127.0.0.1";
    operator_server server(options);
    auto const port = server.start();
    REQUIRE(kernel::ok(port));
    auto const answer = send_request(kernel::value(port),
                                     "GET /state HTTP/1.1\r\nHost: test\r\n"
                                     "Connection: close\r\n"
                                     "Authorization: Bearer \r\n\r\n");
    CHECK(has_status(answer, 401));
}

// Guards against load balancers sending traffic to a process that is not ready.
TEST_CASE("readiness follows the process, health does not")
{
    server_under_test test;
    CHECK(has_status(test.get("/readyz", ""), 503));
    CHECK(has_status(test.get("/healthz", ""), 200));
    test.ready = true;
    CHECK(has_status(test.get("/readyz", ""), 200));
}

// Guards against missing or malformed metrics and state sections.
TEST_CASE("metrics and state sections are served")
{
    server_under_test test;
    CHECK(
        test.get("/metrics", "secret-token").find("endiveward_test_total 1") !=
        std::string::npos);
    auto const all = test.get("/state", "secret-token");
    auto const body =
        nlohmann::json::parse(all.substr(all.find("\r\n\r\n") + 4));
    CHECK(body["members"]["connections"] == 3);
    CHECK(test.get("/state/members", "secret-token").find("connections") !=
          std::string::npos);
    CHECK(has_status(test.get("/state/none", "secret-token"), 404));
    CHECK(has_status(test.get("/other", "secret-token"), 404));
}

// Guards against a port conflict that goes unnoticed.
TEST_CASE("a port in use is reported")
{
    server_under_test test;
    operator_server_options options;
    options.address = "127.0.0.1";
    options.port = test.port;
    operator_server second(options);
    auto const res = second.start();
    REQUIRE_FALSE(kernel::ok(res));
    CHECK(kernel::failure(res).kind == kernel::error_kind::invalid_settings);
}

// Guards against a crowd that holds all connections, or all descriptors of the
// process: RESTinio would not accept again.
TEST_CASE("the oldest connections are closed if there are too many")
{
    operator_server_options options;
    options.address = "127.0.0.1";
    options.open = true;
    options.ready = [] { return true; };
    options.max_connections = 4;
    operator_server server(options);
    auto const port = kernel::value(server.start());
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> crowd;
    for (int n = 0; n < 20; ++n)
        crowd.emplace_back(context).connect(
            {asio::ip::make_address("127.0.0.1"), port});
    for (int n = 0; n < 3; ++n)
        CHECK(has_status(send_request(port, "GET /readyz HTTP/1.1\r\n"
                                            "Host: test\r\n"
                                            "Connection: close\r\n\r\n"),
                         200));
    std::error_code ec;
    char byte = 0;
    CHECK(crowd.front().read_some(asio::buffer(&byte, 1), ec) == 0);
    CHECK(ec);
}

} // namespace endiveward::observe
