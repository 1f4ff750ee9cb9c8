#include "follower/cluster_view.hpp"
#include "follower/i_cluster_observer.hpp"
#include "follower/tests/support/versioned_decoder.hpp"
#include "gateway/routing_table.hpp"
#include "gateway/weights_view.hpp"
#include "kernel/manual_clock.hpp"
#include "observe/decision_log.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace endiveward::follower
{

namespace
{

struct recording_observer : i_cluster_observer
{
    void on_configuration(
        std::shared_ptr<gateway::routing_table const> table) override
    {
        versions.push_back(table->version());
    }

    void
    on_endpoints(std::vector<gateway::endpoint_entry> const& endpoints) override
    {
        last = endpoints;
    }

    void on_target(weights::model_target const& target,
                   storage::table_row const&,
                   std::optional<kernel::steady_time> announced_at) override
    {
        targets.push_back(target.version);
        announcements.push_back(announced_at);
    }

    std::vector<kernel::config_version> versions;
    std::vector<gateway::endpoint_entry> last;
    std::vector<weights::weight_version> targets;
    std::vector<std::optional<kernel::steady_time>> announcements;
};

struct fixture
{
    fixture()
        : log(clock, "test", 0)
        , view(context, clock, decoder, observer, log)
    {
    }

    asio::io_context context;
    kernel::manual_clock clock;
    observe::decision_log log;
    tests::versioned_decoder decoder;
    recording_observer observer;
    cluster_view view;
};

} // namespace

// Guards against a configuration or weights that are replaced by an older
// version.
TEST_CASE("versions never decrease")
{
    fixture f;
    f.view.operator_rows_listener().on_rows({{"config", "c5", {0, 1}, false}},
                                            {0, 1});
    f.view.operator_rows_listener().on_rows({{"config", "c4", {0, 2}, false}},
                                            {0, 2});
    f.view.operator_rows_listener().on_rows({{"config", "c9", {0, 3}, false}},
                                            {0, 3});
    f.view.operator_rows_listener().on_rows(
        {{"w", "t2", {0, 4}, false}, {"w", "t1", {0, 5}, false}}, {0, 5});
    CHECK(f.observer.versions == std::vector<kernel::config_version>{5, 9});
    CHECK(f.observer.targets == std::vector<weights::weight_version>{2});
    CHECK(f.view.config_version() == 9);
}

// Guards against an unreadable entry that makes the other entries unusable.
TEST_CASE("an endpoint with an unreadable entry is dropped and the others stay")
{
    fixture f;
    f.view.endpoint_rows_listener().on_rows({{"a", "ready", {0, 1}, false},
                                             {"b", "\xff", {0, 2}, false},
                                             {"c", "draining", {0, 3}, false}},
                                            {0, 3});
    CHECK(f.observer.last.size() == 2);
    f.view.endpoint_rows_listener().on_rows({{"a", "bad", {0, 4}, false}},
                                            {0, 4});
    REQUIRE(f.observer.last.size() == 1);
    CHECK(f.observer.last[0].id.str() == "c");
    f.view.operator_rows_listener().on_rows({{"config", "?", {0, 5}, false}},
                                            {0, 5});
    CHECK_FALSE(f.view.complete());
    f.view.operator_rows_listener().on_rows({{"config", "c1", {0, 6}, false}},
                                            {0, 6});
    CHECK(f.view.complete());
}

// Guards against live endpoints that are dropped because their entries expired
// while the store was unreachable.
TEST_CASE("entries that expired in an outage of the store have a grace period")
{
    fixture f;
    f.clock.advance(std::chrono::seconds(100));
    f.view.endpoint_rows_listener().on_rows(
        {{"a", "ready", {0, 1}, false}, {"b", "draining", {0, 2}, false}},
        {0, 2});
    f.view.endpoint_rows_listener().on_contact_change({false, "timeout"});
    f.clock.advance(std::chrono::seconds(10));
    f.view.endpoint_rows_listener().on_contact_change({true, ""});
    f.view.endpoint_rows_listener().on_rows(
        {{"a", "", {0, 3}, true}, {"b", "", {0, 4}, true}}, {0, 4});
    // An endpoint that was already draining is removed immediately.
    REQUIRE(f.observer.last.size() == 1);
    CHECK(f.observer.last[0].id.str() == "a");
    f.view.endpoint_rows_listener().on_rows({{"a", "ready", {0, 5}, false}},
                                            {0, 5});
    CHECK(f.observer.last.size() == 1);
    f.clock.advance(std::chrono::seconds(5));
    f.view.endpoint_rows_listener().on_rows({{"a", "", {0, 6}, true}}, {0, 6});
    CHECK(f.observer.last.empty());
}

// Guards against a revoked key or older weights that are in force again because
// the store was restored from a copy.
TEST_CASE("operators' versions decide over eras of the store")
{
    fixture f;
    auto& listener = f.view.operator_rows_listener();
    listener.on_rows(
        {{"config", "c9", {1, 30}, false}, {"w", "t4", {1, 31}, false}},
        {1, 31});
    listener.on_restored_rows(
        {{"config", "c7", {2, 5}, false}, {"w", "t3", {2, 6}, false}}, {2, 6});
    CHECK(f.view.config_version() == 9);
    CHECK(f.observer.targets == std::vector<weights::weight_version>{4});
    // Other processes still get the rows that the store lacks.
    auto const lost = f.view.operator_rows_in_force();
    REQUIRE(lost.size() == 2);
    CHECK(lost[0] == storage::table_row{"config", "c9", {1, 30}, false});
    CHECK(lost[1] == storage::table_row{"w", "t4", {1, 31}, false});
    // The operator writes the last version again, then a new one.
    listener.on_rows({{"config", "c9", {2, 8}, false}}, {2, 8});
    CHECK(f.view.operator_rows_in_force()[0].position ==
          kernel::store_position{2, 8});
    listener.on_rows(
        {{"config", "c11", {2, 9}, false}, {"w", "t5", {2, 10}, false}},
        {2, 10});
    CHECK(f.observer.versions == std::vector<kernel::config_version>{9, 11});
    CHECK(f.observer.targets == std::vector<weights::weight_version>{4, 5});
    // A row of the earlier era that another process knows.
    listener.on_rows({{"config", "c10", {1, 90}, false}}, {2, 10});
    CHECK(f.view.config_version() == 11);
    listener.on_rows({{"config", "c12", {1, 95}, false}}, {2, 10});
    CHECK(f.view.config_version() == 12);
    // Nobody knows how long before the restore such a target was named.
    listener.on_rows({{"w", "t6", {1, 96}, false}}, {2, 10});
    REQUIRE(f.observer.announcements.size() == 3);
    CHECK(f.observer.announcements[1]);
    CHECK_FALSE(f.observer.announcements[2]);
}

namespace
{

std::map<std::string, bool> draining_by_id(recording_observer const& observer)
{
    std::map<std::string, bool> res;
    for (auto const& it : observer.last)
        res[it.id.str()] = it.draining;
    return res;
}

} // namespace

// Guards against requests to endpoints that the copy brings back, and against
// endpoints that are dropped because the copy lacks them.
TEST_CASE("a restored list of endpoints does not undo what is known")
{
    using draining_map = std::map<std::string, bool>;
    fixture f;
    f.clock.advance(std::chrono::seconds(100));
    auto& listener = f.view.endpoint_rows_listener();
    listener.on_rows({{"drained", "draining/1", {1, 30}, false},
                      {"removed", "ready/1", {1, 31}, false},
                      {"missing", "ready/1", {1, 32}, false},
                      {"restarted", "ready/1", {1, 33}, false},
                      {"same", "ready/1", {1, 34}, false}},
                     {1, 40});
    listener.on_rows({{"removed", "", {1, 41}, true}}, {1, 41});
    std::vector<storage::table_row> const copy = {
        {"drained", "ready/1", {2, 3}, false},
        {"removed", "ready/1", {2, 4}, false},
        {"restarted", "ready/2", {2, 5}, false},
        {"same", "ready/1", {2, 6}, false}};
    listener.on_restored_rows(copy, {2, 20});
    CHECK(draining_by_id(f.observer) == draining_map{{"drained", true},
                                                     {"missing", false},
                                                     {"restarted", false},
                                                     {"same", false}});
    // What is written after the read counts at once, also if it looks like the
    // row of the copy.
    listener.on_rows({{"removed", "ready/1", {2, 21}, false},
                      {"drained", "ready/1", {2, 22}, false}},
                     {2, 22});
    CHECK(draining_by_id(f.observer) == draining_map{{"drained", false},
                                                     {"missing", false},
                                                     {"removed", false},
                                                     {"restarted", false},
                                                     {"same", false}});
    f.clock.advance(std::chrono::seconds(3));
    f.view.release_held_entries();
    CHECK_FALSE(draining_by_id(f.observer).contains("missing"));
    // A second restore.
    listener.on_restored_rows(copy, {3, 20});
    f.clock.advance(std::chrono::seconds(11));
    f.view.release_held_entries();
    CHECK(draining_by_id(f.observer) == draining_map{{"drained", false},
                                                     {"removed", false},
                                                     {"restarted", false},
                                                     {"same", false}});
}

// Guards against an endpoint with an unreadable row that stays in use.
TEST_CASE("an unreadable row of the copy drops its endpoint")
{
    fixture f;
    f.view.endpoint_rows_listener().on_rows({{"a", "ready/1", {1, 3}, false}},
                                            {1, 3});
    f.view.endpoint_rows_listener().on_restored_rows(
        {{"a", "bad", {2, 1}, false}}, {2, 1});
    CHECK(f.observer.last.empty());
}

// Guards against requests that start on weights which were replaced too long
// ago: a process that has just started reads a version that was named at an
// unknown time before, possibly after others that it never sees, and counted
// the deadline from its own start.
TEST_CASE("a restart does not renew the deadline of older weights")
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    kernel::model_id const model("m");
    gateway::weights_view weights({}, seconds(10));
    fixture f;
    // Version 3 was named 6 s before this process read the table for the first
    // time.
    f.clock.advance(seconds(100));
    f.view.operator_rows_listener().on_rows({{"w", "t3", {0, 9}, false}},
                                            {0, 9});
    REQUIRE(f.observer.announcements.size() == 1);
    weights.set_target({model, 3}, {}, f.observer.announcements[0],
                       f.clock.now());
    f.clock.advance(milliseconds(4500));
    CHECK_FALSE(weights.may_start(model, 2, f.clock.now()));
    CHECK(weights.may_start(model, 3, f.clock.now()));

    // A version that is named later has the full time.
    f.view.operator_rows_listener().on_rows({{"w", "t4", {0, 12}, false}},
                                            {0, 12});
    REQUIRE(f.observer.announcements.size() == 2);
    weights.set_target({model, 4}, {}, f.observer.announcements[1],
                       f.clock.now());
    CHECK(weights.may_start(model, 3, f.clock.now() + seconds(1)));
}

// Guards against requests to an endpoint that left after the store had come
// back: its entry did not expire in the outage, but was held back as if it had.
TEST_CASE("an endpoint that leaves after an outage is not held back like one "
          "whose entry expired in it")
{
    using std::chrono::milliseconds;
    fixture f;
    f.clock.advance(std::chrono::seconds(100));
    auto& rows = f.view.endpoint_rows_listener();
    rows.on_rows({{"a", "ready", {0, 1}, false}}, {0, 1});
    rows.on_contact_change({false, "status=503"});
    f.clock.advance(milliseconds(900));
    rows.on_contact_change({true, ""});
    // Its leaving is read up to 1 s after it was written, and no request may be
    // sent to it 2 s after that.
    f.clock.advance(milliseconds(1400));
    rows.on_rows({{"a", "", {0, 3}, true}}, {0, 3});
    f.clock.advance(milliseconds(800));
    f.view.release_held_entries();
    CHECK(f.observer.last.empty());
}

// Guards against requests to an endpoint that has left: each short loss of
// contact with the store renewed the grace period of entries held back before.
TEST_CASE("a grace period is not renewed by a further loss of contact")
{
    using std::chrono::milliseconds;
    fixture f;
    f.clock.advance(std::chrono::seconds(100));
    auto& rows = f.view.endpoint_rows_listener();
    rows.on_rows({{"a", "ready", {0, 1}, false}}, {0, 1});
    rows.on_contact_change({false, "timeout"});
    rows.on_contact_change({true, ""});
    f.clock.advance(milliseconds(100));
    rows.on_rows({{"a", "", {0, 3}, true}}, {0, 3});
    REQUIRE(f.observer.last.size() == 1);
    f.clock.advance(milliseconds(2200));
    rows.on_contact_change({false, "status=429"});
    rows.on_contact_change({true, ""});
    rows.on_rows({{"b", "ready", {0, 5}, false}}, {0, 5});
    f.clock.advance(milliseconds(1200));
    f.view.release_held_entries();
    REQUIRE(f.observer.last.size() == 1);
    CHECK(f.observer.last[0].id.str() == "b");
}

} // namespace endiveward::follower
