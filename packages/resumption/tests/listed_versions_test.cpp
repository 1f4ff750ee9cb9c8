#include "resumption/listed_versions.hpp"

#include <catch2/catch.hpp>

namespace endiveward::resumption
{

namespace
{

kernel::service_id const service("s");
kernel::software_version const v1("v1");
kernel::software_version const v2("v2");
kernel::steady_time const start{};

} // namespace

// Guards against a stream that goes on at the only listed version although the
// version that began it was listed until a moment ago.
TEST_CASE("a version counts for the retention time after it was last listed")
{
    listed_versions versions;
    versions.set_retention(std::chrono::seconds(30));
    versions.update({{service, v1}}, start);
    CHECK_FALSE(versions.several(service, start));
    auto const released = start + std::chrono::seconds(100);
    versions.update({{service, v1}, {service, v2}}, released);
    CHECK(versions.several(service, released));
    auto const gone = released + std::chrono::seconds(5);
    versions.update({{service, v2}}, gone);
    CHECK(versions.several(service, gone + std::chrono::seconds(29)));
    CHECK(versions.versions_of(service, gone + std::chrono::seconds(30)) ==
          std::vector{v2});
    versions.update({}, gone + std::chrono::seconds(40));
    CHECK(versions.versions_of(service, gone + std::chrono::seconds(40)) ==
          std::vector{v2});
}

TEST_CASE("versions of other services do not count")
{
    listed_versions versions;
    versions.set_retention(std::chrono::seconds(30));
    versions.update({{service, v1}, {kernel::service_id("other"), v2}}, start);
    CHECK_FALSE(versions.several(service, start));
}

} // namespace endiveward::resumption
