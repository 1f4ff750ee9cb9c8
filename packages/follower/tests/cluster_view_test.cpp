#include "follower/cluster_view.hpp"
#include "follower/i_cluster_observer.hpp"
#include "follower/i_entry_decoder.hpp"
#include "gateway/routing_table.hpp"
#include "kernel/manual_clock.hpp"
#include "observe/decision_log.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace endiveward::follower
{

namespace
{

/// `c5` is a configuration of version 5, `t7` weights of version 7, an
/// endpoint's row is `ready`, `draining` or bad.
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
                   kernel::steady_time) override
    {
        targets.push_back(target.version);
    }

    std::vector<kernel::config_version> versions;
    std::vector<gateway::endpoint_entry> last;
    std::vector<weights::weight_version> targets;
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

// Guards against a configuration or weights that go back (CONFIG).
TEST_CASE("versions never go back")
{
    fixture f;
    f.view.operators().on_rows({{"config", "c5", 1, false}}, 1);
    f.view.operators().on_rows({{"config", "c4", 2, false}}, 2);
    f.view.operators().on_rows({{"config", "c9", 3, false}}, 3);
    f.view.operators().on_rows({{"w", "t2", 4, false}, {"w", "t1", 5, false}},
                               5);
    CHECK(f.observer.versions == std::vector<kernel::config_version>{5, 9});
    CHECK(f.observer.targets == std::vector<weights::weight_version>{2});
    CHECK(f.view.config_version() == 9);
}

// Guards against an unreadable entry that takes the others with it.
TEST_CASE("an entry that cannot be read names no endpoint; the others hold")
{
    fixture f;
    f.view.endpoints().on_rows({{"a", "ready", 1, false},
                                {"b", "\xff", 2, false},
                                {"c", "draining", 3, false}},
                               3);
    CHECK(f.observer.last.size() == 2);
    f.view.endpoints().on_rows({{"a", "bad", 4, false}}, 4);
    REQUIRE(f.observer.last.size() == 1);
    CHECK(f.observer.last[0].id.str() == "c");
    f.view.operators().on_rows({{"config", "?", 5, false}}, 5);
    CHECK_FALSE(f.view.complete());
    f.view.operators().on_rows({{"config", "c1", 6, false}}, 6);
    CHECK(f.view.complete());
}

// Guards against endpoints that are dropped because their entries lapsed while
// the store was away.
TEST_CASE("entries that lapsed with the store have a while to come back")
{
    fixture f;
    f.clock.advance(std::chrono::seconds(100));
    f.view.endpoints().on_rows(
        {{"a", "ready", 1, false}, {"b", "draining", 2, false}}, 2);
    f.view.endpoints().on_reachability_change(false, "timeout");
    f.clock.advance(std::chrono::seconds(10));
    f.view.endpoints().on_reachability_change(true, "");
    f.view.endpoints().on_rows({{"a", "", 3, true}, {"b", "", 4, true}}, 4);
    // What was leaving before is gone at once.
    REQUIRE(f.observer.last.size() == 1);
    CHECK(f.observer.last[0].id.str() == "a");
    f.view.endpoints().on_rows({{"a", "ready", 5, false}}, 5);
    CHECK(f.observer.last.size() == 1);
    f.clock.advance(std::chrono::seconds(5));
    f.view.endpoints().on_rows({{"a", "", 6, true}}, 6);
    CHECK(f.observer.last.empty());
}

} // namespace endiveward::follower
