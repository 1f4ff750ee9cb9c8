#include "availability/leaving_notice_reader.hpp"

#include <catch2/catch.hpp>

namespace endiveward::availability
{

namespace
{

leaving_notice read(std::string const& value)
{
    return read_leaving_notice(value);
}

} // namespace

// Guards against an endpoint that is out of use until its restart because of a
// value that does not say that it leaves.
TEST_CASE("only the value 1 says that an endpoint is leaving")
{
    CHECK(read_leaving_notice(std::nullopt) == leaving_notice::none);
    CHECK(read("1") == leaving_notice::leaving);
    CHECK(read(" 1\t") == leaving_notice::leaving);
    CHECK(read("0") == leaving_notice::none);
    for (auto const* it : {"", "2", "01", "1.0", "true", "yes", "-1", "1, 1"})
        CHECK(read(it) == leaving_notice::unreadable);
}

} // namespace endiveward::availability
