#include "follower/cluster_view.hpp"
#include "follower/i_cluster_observer.hpp"
#include "follower/i_entry_decoder.hpp"
#include "gateway/routing_table.hpp"
#include "gateway/weights_view.hpp"
#include "kernel/manual_clock.hpp"
#include "observe/decision_log.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace endiveward::follower
{

namespace
{

/// Decodes `c5` as a configuration of version 5 and `t7` as weights of version
/// 7. The row of an endpoint is `ready` or `draining`; others are invalid.
struct test_decoder : i_entry_decoder
{
    kernel::result<operator_entry>
    decode_operator_row(std::string const&,
                        std::string const& value) const override
    {
        if (value.starts_with("c"))
        {
            gateway::routing_config res;
            res.version = std::stoul(value.substr(1));
            return operator_entry(res);
        }
        if (value.starts_with("t"))
            return operator_entry(weights::model_target{
                kernel::model_id("m"), std::stoul(value.substr(1))});
        return kernel::error{
            kernel::error_kind::protocol_violation, "bad", {}, {}};
    }

    kernel::result<gateway::endpoint_entry>
    decode_endpoint_row(std::string const& key,
                        std::string const& value) const override
    {
        if (value != "ready" && value != "draining")
            return kernel::error{
                kernel::error_kind::protocol_violation, "bad", {}, {}};
        gateway::endpoint_entry res;
        res.id = kernel::endpoint_id(key);
        res.draining = value == "draining";
        return res;
    }
};

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
    test_decoder decoder;
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
    f.view.endpoint_rows_listener().on_reachability_change(false, "timeout");
    f.clock.advance(std::chrono::seconds(10));
    f.view.endpoint_rows_listener().on_reachability_change(true, "");
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

} // namespace endiveward::follower
