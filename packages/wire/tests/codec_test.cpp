#include "wire/codec.hpp"

#include <catch2/catch.hpp>

#include <limits>

namespace endiveward::wire
{

namespace
{

load_report make_load()
{
    return {1,
            2,
            3,
            4,
            5,
            std::chrono::milliseconds(6),
            true,
            {{kernel::model_id("m"), kernel::model_version("v")}},
            {{{10, 11}, 12}, {{13, 14}, 15}}};
}

kernel::error make_error()
{
    return {kernel::error_kind::overloaded, "wait", kernel::run_state::not_run,
            std::chrono::milliseconds(0)};
}

std::vector<message> all_messages()
{
    invoke call;
    call.call_id = 7;
    call.stream_id = {8, 9};
    call.workspace = kernel::workspace_id("w");
    call.model = kernel::model_id("m");
    call.version = kernel::model_version("v");
    call.service = kernel::service_id("s");
    call.target = target_kind::service;
    call.method = "POST";
    call.path = "/p";
    call.headers = {{"a", "b"}};
    call.body = std::string("x\0y", 3);
    call.streaming = true;
    call.idempotent = true;
    call.idempotency_key = "k";
    call.deadline = std::chrono::milliseconds(10);
    call.priority = 1;
    call.config_version = 11;
    call.prefix_levels = {{{1, 2}, 3}};
    call.request_id = "r";
    return {
        hello{1,
              process_role::agent,
              kernel::process_id("p"),
              2,
              kernel::region_id("r"),
              kernel::zone_id("z"),
              kernel::endpoint_id("e"),
              3,
              {1, 2},
              make_load()},
        heartbeat{1, make_load(), true},
        call,
        verdict{1, make_error(), 2, make_load(), 3},
        chunk{1, 2, "abc"},
        call_end{1, 2, call_outcome::cancelled, 200, "text/plain", make_error(),
                 3, 4, make_load(), true},
        chunk_ack{1, 2},
        cancel{1},
        resume{1, {2, 3}, 4},
        config_request{1},
        config_update{1, 2, true, "{}"},
        draining{},
        gossip{1,
               {{kernel::process_id("p"), process_role::agent, "127.0.0.1", 80,
                 kernel::region_id("r"), kernel::zone_id("z"), 4, true}}},
        engine_state{1,
                     {{kernel::model_id("m"), 2}},
                     true,
                     3,
                     4,
                     5,
                     6,
                     7,
                     8,
                     true,
                     9,
                     true,
                     1.5},
        cache_change{true, {{7, 8}, {9, 0}}},
        table_request{{3, 10}},
        table_rows{{{"k", std::string("x\0y", 3), {3, 11}}}},
        part_report{
            {{1, 2, 3, std::chrono::milliseconds(4)}}, {5}, {6, 7}, {8}},
        limit_report{{{1, 1.5, false}, {2, 0, true}}, {{3, 4}}},
        fact_report{{{fact_kind::endpoint_speed, 1, 2, 0.5, 3,
                      std::chrono::milliseconds(4)},
                     {static_cast<fact_kind>(200), 5, 6, -7, 8,
                      std::chrono::milliseconds(9)}}},
        stream_origins{
            {{1, kernel::service_id("s"), kernel::software_version("v1"),
              std::chrono::milliseconds(2)},
             {3, kernel::service_id("s"), kernel::software_version("v2"),
              std::chrono::milliseconds(4)}}},
        origin_query{1, 2, kernel::service_id("s")},
        origin_answer{1, {}, {}},
        origin_answer{
            1,
            stream_origin{2, kernel::service_id("s"),
                          kernel::software_version("v1"),
                          std::chrono::milliseconds(3)},
            {kernel::software_version("v1"), kernel::software_version("v2")}}};
}

} // namespace

// Guards against a field that is lost or mixed up on the way.
TEST_CASE("every message survives encoding and decoding")
{
    for (auto const& it : all_messages())
    {
        auto const res = decode(encode(it));
        REQUIRE(kernel::ok(res));
        CHECK(kernel::value(res) == it);
    }
}

// Guards against an endpoint that gets no requests for good, or all of them,
// because of a number that is none.
TEST_CASE("a limit that is no number of requests is read as zero")
{
    auto const rate = GENERATE(std::numeric_limits<double>::quiet_NaN(),
                               std::numeric_limits<double>::infinity(), -1.0);
    auto const report = decode(encode(limit_report{{{1, rate, false}}, {}}));
    REQUIRE(kernel::ok(report));
    CHECK(std::get<limit_report>(kernel::value(report)).changes[0].rate == 0);
    engine_state state;
    state.request_limit = rate;
    auto const read = decode(encode(state));
    REQUIRE(kernel::ok(read));
    CHECK(std::get<engine_state>(kernel::value(read)).request_limit == 0.0);
}

// Guards against reading out of bounds on damaged or hostile input.
TEST_CASE("damaged frames are refused or decoded, never read out of bounds")
{
    for (auto const& it : all_messages())
    {
        auto const good = encode(it);
        for (std::size_t n = 0; n < good.size(); ++n)
        {
            auto bad = good;
            bad[n] ^= 0xFFU;
            decode(bad);
            decode(std::span(good).first(n));
        }
    }
    CHECK_FALSE(kernel::ok(decode({})));
}

} // namespace endiveward::wire
