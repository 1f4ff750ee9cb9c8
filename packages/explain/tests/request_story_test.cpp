#include "explain/log_reader.hpp"
#include "explain/request_story.hpp"
#include "kernel/tests/support/property_check.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <utility>
#include <vector>

namespace endiveward::explain
{

namespace
{

std::string line(int ms, std::string const& message)
{
    return fmt::format("{{\"time\":\"2026-12-04T01:00:{:02}.{:03}Z\",\"level\":"
                       "\"INFO\",\"logger\":\"l\",\"message\":\"{}\"}}",
                       ms / 1000, ms % 1000, message);
}

/// Processes with their lines: time in milliseconds and message.
using log_of_process =
    std::pair<std::string, std::vector<std::pair<int, std::string>>>;

request_story story_of(std::vector<log_of_process> const& logs)
{
    request_story res("q1");
    for (auto const& [process, lines] : logs)
    {
        log_reader reader(process);
        for (auto const& [ms, message] : lines)
        {
            if (auto record = reader.read(line(ms, message)))
                res.add(std::move(*record));
        }
    }
    return res;
}

} // namespace

TEST_CASE("a line is read with its process, time and fields")
{
    log_reader reader("file");
    auto const first = reader.read(
        line(5, "event=start process=r1 note=\\\"two words\\\" x="));
    REQUIRE(first);
    CHECK(first->process == "r1");
    CHECK(first->event == "start");
    CHECK(first->value("note") == "two words");
    CHECK(first->value("x").empty());
    auto const second = reader.read(line(1250, "event=sent id=q1"));
    REQUIRE(second);
    CHECK(second->process == "r1");
    CHECK((second->time - first->time).count() == 1245);
    // A collector's prefix names the process.
    auto const third = reader.read("  12.5 r2 " + line(2000, "event=stop "));
    REQUIRE(third);
    CHECK(third->process == "r2");
    CHECK_FALSE(reader.read("plain text"));
    CHECK_FALSE(reader.read(line(0, "no decision")));
    CHECK(reader.unreadable() == 0);
    CHECK_FALSE(reader.read("{\"time\":"));
    CHECK(reader.unreadable() == 1);
}

// Guards against a torn or foreign line that ends the reading of a log.
TEST_CASE("no line ends the reading")
{
    kernel::tests::check_property(
        []
        {
            log_reader reader("file");
            auto const text = *rc::gen::arbitrary<std::string>();
            reader.read(text);
            auto whole = line(1, "event=sent id=q1 a=\\\"b c\\\"");
            auto const cut =
                *rc::gen::inRange<std::size_t>(0, whole.size() + 1);
            whole.resize(cut);
            reader.read(whole + text);
            RC_ASSERT(reader.read(line(1, "event=sent id=q1")).has_value());
        },
        {}, kernel::tests::expected_verdict::holds);
}

TEST_CASE("a refusal for load names the wait and the target")
{
    auto const story = story_of(
        {{"r1",
          {{100, "event=overloaded id=q1 endpoint=e1 wait_ms=400 limit_ms=180 "
                 "target_ms=600"},
           {100, "event=gave_up id=q1 status=503 reason=overloaded runs=0"}}}});
    auto const why = story.explain();
    CHECK(why.code == "overloaded");
    CHECK(why.cause.find("400 ms") != std::string::npos);
    CHECK(why.cause.find("600 ms") != std::string::npos);
}

TEST_CASE("a refusal for memory names the time for which the request was held")
{
    auto const story = story_of(
        {{"r1",
          {{100, "event=waits_for_capacity id=q1 wait_ms=5 fits=false"},
           {900, "event=overloaded id=q1 endpoint=e1 wait_ms=5 limit_ms=150 "
                 "target_ms=500 fits=false held_ms=800 capacity_in_ms=340"},
           {900, "event=gave_up id=q1 status=503 reason=room_full runs=0"}}}});
    auto const why = story.explain();
    CHECK(why.code == "overloaded");
    CHECK(why.cause.find("memory") != std::string::npos);
    CHECK(why.cause.find("800 ms") != std::string::npos);
    CHECK(why.cause.find("340 ms") != std::string::npos);
}

TEST_CASE("a lost endpoint is known by what others saw of it")
{
    auto const story = story_of(
        {{"r1",
          {{1000, "event=sent id=q1 endpoint=e1 expect_ms=20"},
           {1400, "event=failed id=q1 endpoint=e1 reason=no_answer"},
           {1401, "event=gave_up id=q1 status=502 reason=no_answer runs=1"}}},
         {"r2",
          {{1390, "event=failed id=q2 endpoint=e1 reason=no_answer"},
           {1395, "event=failed id=q3 endpoint=e2 reason=no_answer"},
           {9000, "event=failed id=q4 endpoint=e1 reason=no_answer"}}},
         {"a1", {{1600, "event=engine_state endpoint=e1 reloading=false"}}}});
    auto const why = story.explain();
    CHECK(why.code == "endpoint_failed");
    CHECK(why.cause.find("e1") != std::string::npos);
    CHECK(why.cause.find("1 failed") != std::string::npos);
    // The lines of another endpoint and of a much later time are left out.
    CHECK(story.lines().size() == 5);
}

TEST_CASE("a refusal by an endpoint names the versions")
{
    auto const story = story_of(
        {{"r1",
          {{900, "event=engine_state endpoint=e1 reloading=true running=3"},
           {1000, "event=sent id=q1 endpoint=e1"},
           {1010, "event=refused_by_endpoint id=q1 endpoint=e1 status=503 "
                  "asked_version=1 has_version=1"},
           {1011, "event=gave_up id=q1 status=503 "
                  "reason=refused_by_endpoint runs=0"}}}});
    auto const why = story.explain();
    CHECK(why.code == "refused_by_endpoint");
    CHECK(why.cause.find("1 engine_state") != std::string::npos);
}

// Guards against a restart that is taken for a rollout of weights.
TEST_CASE("a refusal by another start is told from one for the weights")
{
    auto const story = story_of(
        {{"r1",
          {{0, "event=sent id=q1 endpoint=e1"},
           {5, "event=refused_by_endpoint id=q1 endpoint=e1 status=421 "
               "asked_version=5 has_version=5 instance=e9"},
           {6, "event=gave_up id=q1 status=503 reason=refused_by_endpoint"}}}});
    CHECK(story.explain().code == "endpoint_replaced");
}

// Guards against a refusal whose cause is taken for failures or pauses.
TEST_CASE("a refusal tells loading engines from endpoints that refused")
{
    auto const loading = story_of({{"r1",
                                    {{6, "event=gave_up id=q1 status=503 "
                                         "reason=endpoints_loading"}}}});
    CHECK(loading.explain().code == "endpoints_loading");
    auto const tried = story_of(
        {{"r1",
          {{5, "event=refused_by_endpoint id=q1 endpoint=e1 status=503"},
           {6, "event=gave_up id=q1 status=503 reason=endpoints_tried"}}}});
    CHECK(tried.explain().code == "refused_by_endpoint");
}

// Guards against a refusal without a cause: the router had excluded the
// endpoints long before the request.
TEST_CASE("a refusal names the endpoints that pause or leave")
{
    auto const* const reason =
        GENERATE("no_endpoint", "endpoints_paused", "endpoints_leaving");
    auto const gave_up =
        fmt::format("event=gave_up id=q1 status=503 reason={}", reason);
    auto const paused = [](std::string const& endpoint, int ms)
    {
        return fmt::format("event=endpoint_paused endpoint={} source=answer "
                           "requested_ms={} until_ms={}",
                           endpoint, ms, ms);
    };
    std::string const leaving =
        "event=endpoint_leaving endpoint=e2 source=agent until=restart";
    auto const both = story_of({{"r1",
                                 {{1000, paused("e1", 30000)},
                                  {2000, paused("e5", 17999)},
                                  {3000, leaving},
                                  {20000, gave_up}}},
                                {"r2", {{3000, paused("e3", 30000)}}}});
    CHECK(both.explain().code == "endpoints_paused");
    CHECK(both.explain().cause.find("e1 (for another 11000 ms)") !=
          std::string::npos);
    CHECK(both.explain().cause.find("leaving: e2") != std::string::npos);
    CHECK(both.explain().cause.find("e3") == std::string::npos);
    CHECK(both.explain().cause.find("e5") == std::string::npos);
    CHECK(both.lines().size() == 3);
    auto const only_leaving =
        story_of({{"r1", {{3000, leaving}, {20000, gave_up}}}});
    CHECK(only_leaving.explain().code == "endpoints_leaving");
    auto const removed =
        story_of({{"r1",
                   {{3000, leaving},
                    {4000, "event=endpoint_removed endpoint=e2"},
                    {20000, gave_up}}}});
    CHECK(removed.explain().code == "no_endpoint");
}

// Guards against a refusal that does not tell which limits were reached.
TEST_CASE("a refusal names the limits of the endpoints")
{
    auto const limit = [](std::string const& rest)
    { return "event=endpoint_limit source=answer " + rest; };
    auto const story = story_of(
        {{"r1",
          {{1000, limit("endpoint=e1 ended=false per_second=3")},
           {1500, limit("endpoint=e1 ended=false per_second=1.5")},
           {1600, limit("endpoint=e2 ended=false per_second=4")},
           {1700, limit("endpoint=e2 ended=true per_second=0")},
           {20000, "event=gave_up id=q1 status=503 reason=endpoints_limited"}}},
         {"r2", {{1500, limit("endpoint=e3 ended=false per_second=7")}}}});
    auto const res = story.explain();
    CHECK(res.code == "endpoints_limited");
    CHECK(res.cause.find("e1 (1.5 a second)") != std::string::npos);
    CHECK(res.cause.find("e2") == std::string::npos);
    CHECK(res.cause.find("e3") == std::string::npos);
}

// Guards against a refusal whose cause was seen at another request or router.
TEST_CASE("a refusal for a quarantined part names the endpoints that crashed")
{
    auto const suspected = [](std::string const& text)
    { return "event=part_suspected " + text; };
    auto const story = story_of(
        {{"r1",
          {{1000, suspected("id=q7 endpoint=e1 part=ab crashes=1")},
           {1500, suspected("source=report part=ab crashes=2")},
           {2000, suspected("id=q8 endpoint=e3 part=abc crashes=1")},
           {20000, "event=part_quarantined id=q1 parts=12,ab left_ms=700"},
           {20000, "event=gave_up id=q1 status=503 reason=part_quarantined"}}},
         {"r2", {{1400, suspected("id=q9 endpoint=e2 part=ab crashes=1")}}}});
    auto const res = story.explain();
    CHECK(res.code == "part_quarantined");
    CHECK(res.cause.find(": e1, e2;") != std::string::npos);
    CHECK(res.cause.find("e3") == std::string::npos);
    CHECK(story.lines().size() == 5);
}

// The same for a whole request, which comes again with other ids.
TEST_CASE(
    "a refusal for a quarantined request names the endpoints that crashed")
{
    auto const suspected = [](std::string const& text)
    { return "event=request_suspected " + text; };
    auto const story = story_of(
        {{"r1",
          {{1000, suspected("id=q7 endpoint=e1 request=ab crashes=1")},
           {2000, suspected("id=q8 endpoint=e3 request=abc crashes=1")},
           {20000,
            "event=request_quarantined id=q1 parts= request=ab left_ms=700"},
           {20000,
            "event=gave_up id=q1 status=503 reason=request_quarantined"}}},
         {"r2",
          {{1400, suspected("id=q9 endpoint=e2 request=ab crashes=1")}}}});
    auto const res = story.explain();
    CHECK(res.code == "request_quarantined");
    CHECK(res.cause.find(": e1, e2;") != std::string::npos);
    CHECK(res.cause.find("e3") == std::string::npos);
    CHECK(story.lines().size() == 4);
}

TEST_CASE("an answer after a repeat is told from one that was slow")
{
    auto const repeated =
        story_of({{"r1",
                   {{0, "event=sent id=q1 endpoint=e1 expect_ms=20"},
                    {800, "event=silent id=q1 endpoint=e1"},
                    {801, "event=sent id=q1 endpoint=e2 expect_ms=20"},
                    {900, "event=completed id=q1 endpoint=e2 took_ms=900"}}}});
    CHECK(repeated.explain().code == "repeated");
    auto const slow =
        story_of({{"r1",
                   {{0, "event=sent id=q1 endpoint=e1 expect_ms=20"},
                    {900, "event=completed id=q1 endpoint=e1 took_ms=900"}}}});
    CHECK(slow.explain().code == "answered");
}

TEST_CASE("a request without lines is told from one that was left out")
{
    CHECK(story_of({{"r1", {{0, "event=start process=r1"}}}}).explain().code ==
          "not_seen");
    CHECK(story_of({{"r1", {{0, "event=lines_left_out lines=7"}}}})
              .explain()
              .code == "left_out");
    CHECK(story_of({{"r1", {{0, "event=sent id=q1 endpoint=e1"}}}})
              .explain()
              .code == "in_progress");
}

// Guards against refusals of streams that callers take up whose cause the logs
// have but the story does not tell.
TEST_CASE("a stream that could not be taken up is explained")
{
    auto const story = [](std::string const& located, std::string const& reason)
    {
        return story_of(
                   {{"r1",
                     {{10, "event=stream_located id=q1 resumes=q0 " + located},
                      {11,
                       "event=gave_up id=q1 status=503 reason=" + reason}}}})
            .explain();
    };
    auto const unknown =
        story("source=unknown versions=v1,v2 agents_answered=true linked=true",
              "stream_origin_unknown");
    CHECK(unknown.code == "stream_origin_unknown");
    CHECK(unknown.cause.find("request q0") != std::string::npos);
    CHECK(unknown.cause.find("v1,v2") != std::string::npos);
    auto const no_history =
        story("source=unknown versions=v1 history_complete=false",
              "stream_origin_unknown");
    CHECK(no_history.code == "stream_origin_unknown");
    CHECK(no_history.cause.find("does not know all") != std::string::npos);
    auto const gone = story("source=agent software=\\\"v1\\\" versions=v2",
                            "software_version_gone");
    CHECK(gone.code == "software_version_gone");
    CHECK(gone.cause.find("software version v1;") != std::string::npos);
    CHECK(story("source=own service=s1", "stream_service_gone")
              .cause.find("service s1") != std::string::npos);
}

} // namespace endiveward::explain
