#include "gateway/request_fields.hpp"
#include "gateway/tests/support/test_names.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveward::gateway
{

namespace
{

http_request make_request()
{
    http_request res;
    res.method = "POST";
    res.target = "/p/1?q=1";
    res.headers.add("Host", "h");
    res.headers.add("X-Key", "key1");
    res.headers.add("X-Id", "id1");
    res.body = "body";
    return res;
}

} // namespace

// Guards against a suspicion of one request that costs others of the same
// caller or path their service.
TEST_CASE("requests differ by method, host, path, caller and body only")
{
    auto const names = test_names();
    auto const key = request_key(make_request(), names);
    auto again = make_request();
    again.headers = {};
    again.headers.add("Host", "h");
    again.headers.add("X-Id", "id2");
    again.headers.add("X-Key", "key1");
    again.headers.add("X-Time", "77");
    CHECK(request_key(again, names) == key);
    // The body is the prompt that these describe.
    again.headers.add("X-Parts", "p1:10,p2:20");
    CHECK(request_key(again, names) == key);
    again.body.clear();
    auto const first_prompt = request_key(again, names);
    again.headers = {};
    again.headers.add("Host", "h");
    again.headers.add("X-Key", "key1");
    again.headers.add("X-Parts", "p1:10,p3:20");
    CHECK(request_key(again, names) != first_prompt);

    std::vector<std::function<void(http_request&)>> const changes{
        [](auto& it) { it.method = "PUT"; },
        [](auto& it) { it.target = "/p/2?q=1"; },
        [](auto& it) { it.target = "/p/1?q=2"; },
        [](auto& it) { it.body = "other"; }, [](auto& it) { it.body.clear(); },
        [](auto& it)
        {
            it.headers = {};
            it.headers.add("Host", "other");
            it.headers.add("X-Key", "key1");
        },
        [](auto& it)
        {
            it.headers = {};
            it.headers.add("Host", "h");
            it.headers.add("X-Key", "key2");
        },
        // The same bytes in other fields.
        [](auto& it)
        {
            it.target = "/p/1?q=1key1";
            it.headers = {};
            it.headers.add("Host", "h");
        }};
    for (auto const& change : changes)
    {
        auto request = make_request();
        change(request);
        CHECK(request_key(request, names) != key);
    }
}

// Guards against load counts that are lost, or an estimate of speed that is
// spoilt, because the fourth number of the field is missing or wrong.
TEST_CASE("the fourth number of the load field tells how long work takes")
{
    auto const figure_of = [](std::string_view text)
    {
        auto const res = parse_load(text);
        REQUIRE(res);
        CHECK(res->running == 3);
        CHECK(res->waiting == 1);
        CHECK(res->slots == 64);
        return res->figure;
    };
    reported_work_figure const none = no_work_figure();
    CHECK(figure_of("3,1,64") == none);
    CHECK(figure_of("3,1,64,") == none);
    CHECK(figure_of("3,1,64,100") == reported_work_figure(work_figure{1}));
    CHECK(figure_of("3, 1, 64, 250 ") ==
          reported_work_figure(work_figure{2.5}));
    CHECK(figure_of("3,1,64,40,7") == reported_work_figure(work_figure{0.4}));
    reported_work_figure const unreadable = unreadable_work_figure();
    for (auto const* const text :
         {"0", "-250", "1001", "4294967297", "99999999999999999999", "x", "2.5",
          "nan", "1e3", "100 %"})
        CHECK(figure_of("3,1,64," + std::string(text)) == unreadable);
}

// Guards against work and memory for each part of a prompt that is described by
// as many parts as a header has room for.
TEST_CASE("only the first parts of a prompt are looked at")
{
    std::string parts;
    for (int n = 0; n < 4000; ++n)
        parts += std::to_string(n) + ":1,";
    header_list headers;
    headers.add("X-Model", "m");
    headers.add("X-Parts", parts);
    auto const prompt = parse_prompt(headers, test_names());
    REQUIRE(prompt);
    REQUIRE(prompt->parts.size() == 64);
    CHECK(prompt->parts.back().id == "63");
}

} // namespace endiveward::gateway
