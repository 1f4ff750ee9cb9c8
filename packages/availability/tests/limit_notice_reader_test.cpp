#include "availability/limit_notice_reader.hpp"

#include <catch2/catch.hpp>

#include <limits>
#include <string>

namespace endiveward::availability
{

namespace
{

limit_notice read(std::string const& value)
{
    return read_limit_notice(value);
}

} // namespace

// Guards against limits that are overlooked, or read from a field that names
// none.
TEST_CASE("the limit of an endpoint is read as a decimal number")
{
    CHECK(read_limit_notice(std::nullopt) == limit_notice(no_limit()));
    CHECK(read("1.1") == limit_notice(named_limit{1.1}));
    CHECK(read(" 12 ") == limit_notice(named_limit{12}));
    CHECK(read("0") == limit_notice(named_limit{0}));
    CHECK(read("0.25") == limit_notice(named_limit{0.25}));
    CHECK(read(std::string(400, '9')) ==
          limit_notice(named_limit{std::numeric_limits<double>::max()}));
    for (auto const* const it : {"", " ", "-1", "+1", "1e3", "1,5", "inf",
                                 "nan", ".5", "1.2.3", "1/s"})
        CHECK(read(it) == limit_notice(unreadable_limit()));
}

} // namespace endiveward::availability
