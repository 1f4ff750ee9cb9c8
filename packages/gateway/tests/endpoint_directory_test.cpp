#include "gateway/endpoint_directory.hpp"
#include "kernel/manual_clock.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace endiveward::gateway
{

namespace
{

endpoint_entry make_entry(std::string const& id,
                          kernel::incarnation incarnation = 0)
{
    endpoint_entry res;
    res.id = kernel::endpoint_id(id);
    res.incarnation = incarnation;
    res.service = kernel::service_id("s");
    res.host = "10.0.0.1";
    res.port = 80;
    return res;
}

struct directory_fixture
{
    explicit directory_fixture(std::uint64_t seed = 0)
        : directory(
              [this](asio::ip::tcp::endpoint const& peer)
              {
                  return std::make_shared<upstream_pool>(
                      context, clock,
                      std::make_shared<upstream_options const>(), peer);
              },
              seed)
    {
    }

    asio::io_context context;
    kernel::manual_clock clock;
    endpoint_directory directory;

    std::shared_ptr<endpoint_record> find(std::string const& id) const
    {
        return directory.find(kernel::endpoint_id(id));
    }
};

} // namespace

// Guards against requests to an endpoint that is leaving: its entry expires
// while the store is down and returns, as ready, from a copy of the store.
TEST_CASE("an endpoint that is listed again is still leaving")
{
    directory_fixture f;
    f.directory.update({make_entry("e", 3)});
    auto const record = f.find("e");
    SECTION("announced while it was listed")
    {
        record->on_leaving();
        f.directory.update({});
    }
    SECTION("announced by an answer after its removal")
    {
        f.directory.update({});
        record->on_leaving();
    }
    CHECK(f.find("e") == nullptr);
    f.directory.update({make_entry("e", 3)});
    CHECK(f.find("e")->leaving());
    f.directory.update({});
    CHECK(f.directory.update({make_entry("e", 2)}) ==
          std::vector{kernel::endpoint_id("e")});
    CHECK(f.find("e")->leaving());
    CHECK(f.directory.update({make_entry("e", 4)}).empty());
    CHECK_FALSE(f.find("e")->leaving());
}

// Guards against requests to a draining endpoint after its entry has gone back
// to the state before, as a store that was restored from a copy gives it out.
TEST_CASE("an endpoint that drains is not ready again")
{
    auto const incarnation = GENERATE(kernel::incarnation(0), 3);
    directory_fixture f;
    auto draining = make_entry("e", incarnation);
    draining.draining = true;
    f.directory.update({draining});
    f.directory.update({make_entry("e", incarnation)});
    CHECK_FALSE(f.find("e")->available(f.clock.now()));
    f.directory.update({});
    f.directory.update({make_entry("e", incarnation)});
    CHECK_FALSE(f.find("e")->available(f.clock.now()));
    f.directory.update({make_entry("e", incarnation + 1)});
    CHECK(f.find("e")->available(f.clock.now()));
}

// On some installations entries have no incarnation and a restarted endpoint
// registers under another id.
TEST_CASE("an endpoint with another id at the same address is not leaving")
{
    directory_fixture f;
    f.directory.update({make_entry("e")});
    f.find("e")->on_leaving();
    f.directory.update({make_entry("f")});
    CHECK_FALSE(f.find("f")->leaving());
}

// Guards against an early end of a pause, as above.
TEST_CASE("an endpoint that is listed again is still paused")
{
    directory_fixture f;
    f.directory.update({make_entry("e", 3)});
    f.find("e")->on_pause(f.clock.now(), std::chrono::seconds(2));
    f.directory.update({});
    f.directory.update({make_entry("e", 3), make_entry("other")});
    CHECK(f.find("e")->paused(f.clock.now()));
    CHECK_FALSE(f.find("other")->paused(f.clock.now()));
    f.directory.update({make_entry("e", 4)});
    CHECK_FALSE(f.find("e")->paused(f.clock.now()));
}

// Guards against processes that return to an endpoint together.
TEST_CASE("pauses end at different times in different processes")
{
    std::set<kernel::steady_time> ends;
    for (std::uint64_t seed = 0; seed < 50; ++seed)
    {
        directory_fixture f(seed);
        f.directory.update({make_entry("e")});
        f.find("e")->on_pause(f.clock.now(), std::chrono::seconds(2));
        ends.insert(f.find("e")->unusable_until(f.clock.now()).value());
    }
    CHECK(ends.size() >= 40);
}

// Guards against a process whose memory grows with each restart of an endpoint.
TEST_CASE("removed endpoints are remembered in a limited number")
{
    directory_fixture f;
    f.directory.update({make_entry("e")});
    std::weak_ptr<endpoint_record> const first = f.find("e");
    for (int n = 0; n < 1024; ++n)
        f.directory.update({make_entry(fmt::format("e{}", n))});
    CHECK_FALSE(first.expired());
    f.directory.update({});
    CHECK(first.expired());
}

} // namespace endiveward::gateway
