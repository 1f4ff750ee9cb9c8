#include "availability/leaving_tracker.hpp"

#include <catch2/catch.hpp>

namespace endiveward::availability
{

TEST_CASE("the first announcement of an exit is told apart")
{
    leaving_tracker tracker;
    CHECK_FALSE(tracker.leaving());
    CHECK(tracker.on_announced());
    CHECK(tracker.leaving());
    CHECK_FALSE(tracker.on_announced());
}

// Guards against an engine that is reported as staying because of a report that
// it made before its announcement, which came with another call.
TEST_CASE("a report that was requested before an announcement does not end it")
{
    leaving_tracker tracker;
    tracker.on_report_requested();
    tracker.on_announced();
    CHECK_FALSE(tracker.on_report());
    CHECK(tracker.leaving());
}

TEST_CASE("an engine that announces its exit in each report is leaving")
{
    leaving_tracker tracker;
    tracker.on_announced();
    for (int n = 0; n < 3; ++n)
    {
        tracker.on_report_requested();
        tracker.on_announced();
        CHECK_FALSE(tracker.on_report());
        CHECK(tracker.leaving());
    }
}

// Guards against a restarted engine that gets no requests: its agent may not
// learn of the restart otherwise.
TEST_CASE("a later report without the announcement comes from a restarted "
          "engine")
{
    leaving_tracker tracker;
    tracker.on_announced();
    tracker.on_report_requested();
    CHECK(tracker.on_report());
    CHECK_FALSE(tracker.leaving());
}

} // namespace endiveward::availability
