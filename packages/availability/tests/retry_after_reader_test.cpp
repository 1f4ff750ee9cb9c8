#include "availability/retry_after_reader.hpp"

#include <catch2/catch.hpp>

namespace endiveward::availability
{

namespace
{

using std::chrono::milliseconds;

retry_after read(std::string const& value)
{
    return read_retry_after(value, std::nullopt);
}

retry_after read(std::string const& value, std::string const& date)
{
    return read_retry_after(value, date);
}

retry_after pause(int ms)
{
    return requested_pause{milliseconds(ms), false};
}

std::string const sent = "Fri, 04 Dec 2026 08:00:00 GMT";

} // namespace

// Guards against a pause that ends before the endpoint has asked for.
TEST_CASE("seconds are read with their fraction and rounded up")
{
    CHECK(read("1") == pause(1000));
    CHECK(read(" 2\t") == pause(2000));
    CHECK(read("0.25") == pause(250));
    CHECK(read("0.0001") == pause(1));
    CHECK(read("1.0004") == pause(1001));
    CHECK(read("3.") == pause(3000));
    CHECK(read("0600") == retry_after(requested_pause{max_requested_pause}));
}

TEST_CASE("an absent field and zero ask for no pause")
{
    CHECK(read_retry_after(std::nullopt, std::nullopt) ==
          retry_after(no_pause()));
    for (auto const* it : {"0", "0.0", "000"})
        CHECK(read(it) == retry_after(no_pause()));
}

// Guards against an endpoint that one faulty value takes out of use for good,
// and against an overflow.
TEST_CASE("a long pause is limited")
{
    retry_after const limited = requested_pause{max_requested_pause, true};
    CHECK(read("600.001") == limited);
    CHECK(read("99999999999999999999999999") == limited);
    CHECK(read(std::string(400, '9')) == limited);
    CHECK(read("Sat, 04 Dec 2027 08:00:00 GMT", sent) == limited);
}

TEST_CASE("a date is read relative to the date of the answer")
{
    CHECK(read("Fri, 04 Dec 2026 08:00:03 GMT", sent) == pause(3000));
    CHECK(read("Friday, 04-Dec-26 08:00:03 GMT", sent) == pause(3000));
    CHECK(read("Fri Dec  4 08:00:03 2026", sent) == pause(3000));
    CHECK(read("Fri, 04 Dec 2026 08:00:00 GMT", sent) ==
          retry_after(no_pause()));
    CHECK(read("Fri, 04 Dec 2026 07:59:59 GMT", sent) ==
          retry_after(no_pause()));
}

// Guards against a value that is taken for a number that it only begins with.
TEST_CASE("other values are unreadable")
{
    for (auto const* it :
         {"", " ", "-1", "-0", "+1", "1s", "1,5", "1 2", "1.2.3", ".5", ".",
          "1e3", "0x10", "inf", "nan", "soon", "Fri, 04 Dec 2026 08:00:03 GMT"})
        CHECK(read(it) == retry_after(unreadable_pause()));
    for (auto const* it :
         {"Fri, 04 Dec 2026 08:00:03", "Fri, 04 Dec 2026 08:00:03 CET",
          "Fri, 31 Feb 2026 08:00:03 GMT", "Fri, 04 Foo 2026 08:00:03 GMT",
          "04 Dec 2026"})
        CHECK(read(it, sent) == retry_after(unreadable_pause()));
    CHECK(read("Fri, 04 Dec 2026 08:00:03 GMT", "now") ==
          retry_after(unreadable_pause()));
}

} // namespace endiveward::availability
