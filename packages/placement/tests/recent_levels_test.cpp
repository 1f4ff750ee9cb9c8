#include "placement/recent_levels.hpp"

#include <catch2/catch.hpp>

namespace endiveward::placement
{

namespace
{

wire::prefix_level level(std::uint64_t n)
{
    return {{n, n}, n};
}

} // namespace

// Guards against load reports that grow without bound or contain duplicates.
TEST_CASE("recent levels are distinct, bounded and newest first")
{
    recent_levels sut(3);
    std::vector const first{level(1), level(2)};
    std::vector const second{level(1), level(3)};
    sut.add(first);
    sut.add(second);
    CHECK(sut.list() == std::vector{level(1), level(3), level(2)});
    std::vector const third{level(4)};
    sut.add(third);
    CHECK(sut.list() == std::vector{level(4), level(1), level(3)});
    sut.clear();
    CHECK(sut.list().empty());
}

} // namespace endiveward::placement
