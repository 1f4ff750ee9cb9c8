#include "resumption/origin_table.hpp"

#include <catch2/catch.hpp>

namespace endiveward::resumption
{

namespace
{

using std::chrono::milliseconds;

kernel::service_id const service("s");
kernel::steady_time const start{};

wire::stream_origin origin(std::uint64_t stream, char const* software,
                           milliseconds lifetime = std::chrono::seconds(1))
{
    return {stream, service, kernel::software_version(software), lifetime};
}

} // namespace

TEST_CASE("the origin of a stream is kept for its lifetime")
{
    origin_table table;
    table.add(origin(1, "v1"), start);
    auto const found = table.find(1, start + milliseconds(400));
    REQUIRE(found);
    CHECK(found->software == kernel::software_version("v1"));
    CHECK(found->lifetime == milliseconds(600));
    CHECK_FALSE(table.find(1, start + milliseconds(1000)));
    CHECK_FALSE(table.find(2, start));
}

TEST_CASE("what was added last is known of a stream")
{
    origin_table table;
    table.add(origin(1, "v1"), start);
    table.add(origin(1, "v2"), start + milliseconds(500));
    auto const found = table.find(1, start + milliseconds(1400));
    REQUIRE(found);
    CHECK(found->software == kernel::software_version("v2"));
    CHECK(table.size() == 1);
}

// Guards against memory that grows with the streams that were ever begun.
TEST_CASE("the number of kept origins is bounded")
{
    origin_table table(100);
    for (std::uint64_t n = 0; n < 1000; ++n)
        table.add(origin(n, "v1"), start);
    CHECK(table.size() == 100);
    CHECK_FALSE(table.find(899, start));
    CHECK(table.find(900, start));
    table.add(origin(1000, "v1"), start + std::chrono::seconds(1));
    CHECK(table.size() == 1);
}

TEST_CASE("the versions of known streams of a service are told")
{
    origin_table table;
    table.add(origin(1, "v1", milliseconds(10)), start);
    table.add(origin(2, "v2"), start);
    table.add(origin(3, "v2"), start);
    table.add({4, kernel::service_id("other"), kernel::software_version("v3"),
               std::chrono::seconds(1)},
              start);
    CHECK(table.versions_of(service, start).size() == 2);
    auto const later = table.versions_of(service, start + milliseconds(10));
    CHECK(later == std::vector{kernel::software_version("v2")});
}

} // namespace endiveward::resumption
