#include "gateway/endpoint_directory.hpp"
#include "kernel/manual_clock.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <memory>
#include <string>

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
    asio::io_context context;
    kernel::manual_clock clock;
    endpoint_directory directory{
        [this](asio::ip::tcp::endpoint const& peer)
        {
            return std::make_shared<upstream_pool>(
                context, clock, std::make_shared<upstream_options const>(),
                peer);
        }};

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
    f.directory.update({make_entry("e", 2)});
    CHECK(f.find("e")->leaving());
    f.directory.update({make_entry("e", 4)});
    CHECK_FALSE(f.find("e")->leaving());
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
