#include "gateway/http/connection_fields.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace endiveward::gateway
{

TEST_CASE("standard fields and those that are named are hop-by-hop")
{
    header_list headers;
    headers.add("Connection", "close, X-First");
    headers.add("X-First", "1");
    headers.add("connection", ",,x-second ,");
    connection_fields const fields(headers);
    for (auto const* const it :
         {"connection", "keep-alive", "TE", "x-first", "X-SECOND"})
        CHECK(fields.contains(it));
    for (auto const* const it : {"X-Third", "x-firs", "x-firstt", "Host"})
        CHECK_FALSE(fields.contains(it));
}

// Guards against work for each field and each name.
TEST_CASE("very many names are found")
{
    constexpr int number = 3000;
    std::string names;
    for (int n = 0; n < number; ++n)
        names += "x" + std::to_string(n) + ",";
    header_list headers;
    headers.add("Connection", names);
    connection_fields const fields(headers);
    for (int n = 0; n < number; ++n)
        REQUIRE(fields.contains("X" + std::to_string(n)));
    CHECK_FALSE(fields.contains("X" + std::to_string(number)));
}

} // namespace endiveward::gateway
