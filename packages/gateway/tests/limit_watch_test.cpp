#include "gateway/limit_watch.hpp"

#include "gateway/endpoint_directory.hpp"
#include "gateway/endpoint_key.hpp"
#include "gateway/upstream_pool.hpp"
#include "kernel/manual_clock.hpp"
#include "observe/decision_log.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <memory>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

struct fixture
{
    fixture()
    {
        clock.advance(std::chrono::seconds(100));
        endpoint_entry entry;
        entry.id = kernel::endpoint_id("e");
        entry.service = kernel::service_id("s");
        entry.host = "127.0.0.1";
        entry.port = 1;
        endpoints.update({entry});
        endpoint = endpoints.find(entry.id);
        watch.set_processes(5, true);
        watch.on_agent_report(*endpoint, std::nullopt);
        watch.update_share();
        watch.on_response(*endpoint, clock.now(), "X-Limit", "1");
    }

    milliseconds until_next() const
    {
        auto const now = clock.now();
        return std::chrono::duration_cast<milliseconds>(
            endpoint->limit().blocked_until(now).value_or(now) - now);
    }

    asio::io_context context;
    kernel::manual_clock clock;
    observe::decision_log log{clock, "test", 0};
    endpoint_directory endpoints{
        [this](asio::ip::tcp::endpoint const& peer)
        {
            return std::make_shared<upstream_pool>(
                context, clock, std::make_shared<upstream_options>(), peer);
        }};
    limit_watch watch{context, clock, endpoints, log, 1};
    std::shared_ptr<endpoint_record> endpoint;
};

} // namespace

// Guards against a process that uses the whole limit while its links are
// silent, so that it does not hear what the others send.
TEST_CASE("a process that hears of no agent keeps to its share of a limit")
{
    fixture f;
    CHECK(f.until_next() == milliseconds(1000));
    f.clock.advance(milliseconds(1000));
    f.watch.on_sent(*f.endpoint);
    f.clock.advance(milliseconds(501));
    f.watch.update_share();
    // Half of the second has passed with the whole limit.
    CHECK(f.until_next() >= milliseconds(2400));
    f.watch.on_agent_report(*f.endpoint, std::nullopt);
    f.watch.update_share();
    CHECK(f.until_next() <= milliseconds(500));
    f.watch.set_processes(5, false);
    CHECK(f.until_next() >= milliseconds(2400));
}

// Guards against a request that counts more than once, since it is reported
// through several agents.
TEST_CASE("a request that several agents report counts once")
{
    fixture f;
    f.clock.advance(milliseconds(1000));
    CHECK(f.until_next() == milliseconds(0));
    wire::limit_report const report{{},
                                    {{endpoint_key(f.endpoint->entry()), 7}}};
    for (int n = 0; n < 3; ++n)
        f.watch.on_report(report);
    CHECK(f.until_next() == milliseconds(1000));
}

} // namespace endiveward::gateway
