#include "follower/restored_entries.hpp"
#include "kernel/manual_clock.hpp"

#include <catch2/catch.hpp>

namespace endiveward::follower
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

gateway::endpoint_entry make_entry(kernel::incarnation incarnation,
                                   bool draining = false)
{
    gateway::endpoint_entry res;
    res.id = kernel::endpoint_id("e");
    res.incarnation = incarnation;
    res.draining = draining;
    return res;
}

struct fixture
{
    fixture()
        : restored(clock)
    {
        clock.advance(seconds(100));
    }

    kernel::manual_clock clock;
    restored_entries restored;
};

} // namespace

// Guards against requests to a draining endpoint because of an older row.
TEST_CASE("a draining endpoint stays draining although the copy says ready")
{
    fixture f;
    auto res = f.restored.on_restored({{"e", make_entry(5, true)}},
                                      {{"e", make_entry(5)}});
    CHECK(res.entries.at("e").draining);
    CHECK(res.held_draining == 1);
    f.clock.advance(milliseconds(9999));
    CHECK(f.restored.release(res.entries) == 0);
    f.clock.advance(milliseconds(1));
    CHECK(f.restored.release(res.entries) == 1);
    // It has not written again for so long: the table counts.
    CHECK_FALSE(res.entries.at("e").draining);
    CHECK_FALSE(f.restored.next_release());
}

TEST_CASE("a change after the full read ends the hold of a draining endpoint")
{
    fixture f;
    auto res = f.restored.on_restored({{"e", make_entry(5, true)}},
                                      {{"e", make_entry(5)}});
    REQUIRE(f.restored.next_release());
    f.restored.on_changed("e");
    CHECK_FALSE(f.restored.next_release());
    res.entries["e"] = make_entry(5);
    f.clock.advance(seconds(60));
    CHECK(f.restored.release(res.entries) == 0);
}

TEST_CASE("another incarnation in the copy is used if it is newer")
{
    fixture f;
    auto const newer = f.restored.on_restored({{"e", make_entry(5, true)}},
                                              {{"e", make_entry(6)}});
    CHECK_FALSE(newer.entries.at("e").draining);
    // The copy is from before the restart of the endpoint.
    auto older = f.restored.on_restored({{"e", make_entry(6)}},
                                        {{"e", make_entry(5, true)}});
    CHECK(older.entries.at("e") == make_entry(6));
    f.clock.advance(seconds(10));
    CHECK(f.restored.release(older.entries) == 1);
    CHECK(older.entries.at("e") == make_entry(5, true));
}

TEST_CASE("an endpoint that drains according to the copy drains")
{
    fixture f;
    auto const res = f.restored.on_restored({{"e", make_entry(5)}},
                                            {{"e", make_entry(5, true)}});
    CHECK(res.entries.at("e").draining);
    CHECK_FALSE(f.restored.next_release());
}

// Guards against requests to an endpoint that has left.
TEST_CASE("an endpoint that was removed shortly before stays removed")
{
    fixture f;
    auto const entry = make_entry(5);
    f.restored.on_removed("e", &entry);
    f.clock.advance(seconds(20));
    auto res = f.restored.on_restored({}, {{"e", make_entry(5)}});
    CHECK(res.entries.empty());
    CHECK(res.held_removed == 1);
    f.clock.advance(seconds(10));
    CHECK(f.restored.release(res.entries) == 1);
    CHECK(res.entries.contains("e"));
}

TEST_CASE("a removed endpoint that registers again is used at once")
{
    fixture f;
    auto const entry = make_entry(5);
    f.restored.on_removed("e", &entry);
    f.restored.on_changed("e");
    auto const res = f.restored.on_restored({}, {{"e", make_entry(5)}});
    CHECK(res.entries.contains("e"));
    // One that started again is another incarnation.
    f.restored.on_removed("e", &entry);
    CHECK(f.restored.on_restored({}, {{"e", make_entry(6)}})
              .entries.contains("e"));
}

TEST_CASE("an endpoint that was removed long before is used")
{
    fixture f;
    auto const entry = make_entry(5);
    f.restored.on_removed("e", &entry);
    f.clock.advance(seconds(60));
    CHECK(f.restored.on_restored({}, {{"e", make_entry(5)}})
              .entries.contains("e"));
}

// Guards against live endpoints that are dropped because they registered after
// the copy was made.
TEST_CASE("an endpoint that the copy lacks is held for the grace period")
{
    fixture f;
    auto res = f.restored.on_restored({{"e", make_entry(5)}}, {});
    CHECK(res.entries.contains("e"));
    CHECK(res.held_missing == 1);
    f.clock.advance(milliseconds(2399));
    CHECK(f.restored.release(res.entries) == 0);
    f.clock.advance(milliseconds(1));
    CHECK(f.restored.release(res.entries) == 1);
    CHECK(res.entries.empty());
    // It is known as removed if the store is restored once more.
    CHECK(f.restored.on_restored({}, {{"e", make_entry(5)}}).held_removed == 1);
}

TEST_CASE("a draining endpoint that the copy lacks is removed at once")
{
    fixture f;
    CHECK(f.restored.on_restored({{"e", make_entry(5, true)}}, {})
              .entries.empty());
    CHECK(f.restored.on_restored({}, {{"e", make_entry(5)}}).held_removed == 1);
}

// Guards against a second restore that undoes what the first one held.
TEST_CASE("a restore during the holds of another begins them anew")
{
    fixture f;
    auto const entry = make_entry(7);
    f.restored.on_removed("gone", &entry);
    restored_entries::entry_map const copy{{"e", make_entry(5)},
                                           {"gone", make_entry(7)}};
    auto res = f.restored.on_restored({{"e", make_entry(5, true)}}, copy);
    f.clock.advance(seconds(9));
    res = f.restored.on_restored(res.entries, copy);
    CHECK(res.entries.at("e").draining);
    CHECK_FALSE(res.entries.contains("gone"));
    f.clock.advance(seconds(9));
    CHECK(f.restored.release(res.entries) == 0);
    f.clock.advance(seconds(1));
    CHECK(f.restored.release(res.entries) == 2);
}

// Guards against a row that the platform removes in the gap, whose endpoint is
// brought back by the next restore.
TEST_CASE("a row that is deleted while its endpoint is held removed stays so")
{
    fixture f;
    auto const entry = make_entry(5);
    f.restored.on_removed("e", &entry);
    f.restored.on_restored({}, {{"e", make_entry(5)}});
    f.restored.on_removed("e", nullptr);
    CHECK_FALSE(f.restored.next_release());
    CHECK(f.restored.on_restored({}, {{"e", make_entry(5)}}).entries.empty());
}

} // namespace endiveward::follower
