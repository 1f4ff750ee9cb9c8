#include "follower/cluster_view.hpp"
#include "follower/i_cluster_observer.hpp"
#include "follower/row_exchange.hpp"
#include "follower/table_follower.hpp"
#include "follower/tests/support/run_due.hpp"
#include "follower/tests/support/versioned_decoder.hpp"
#include "kernel/manual_clock.hpp"
#include "kernel/seeded_random_source.hpp"
#include "observe/decision_log.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <optional>

namespace endiveward::follower
{

namespace
{

using storage::row_batch;
using storage::table_row;

/// Keeps the handlers of the open calls.
struct open_feed : storage::i_row_feed
{
    void read_all(std::string const&, std::chrono::milliseconds,
                  batch_handler on_done) override
    {
        full_reads.push_back(std::move(on_done));
    }

    void wait_for_changes(std::string const&, kernel::store_position const&,
                          std::chrono::milliseconds, std::chrono::milliseconds,
                          batch_handler on_done) override
    {
        polls.push_back(std::move(on_done));
    }

    std::vector<batch_handler> full_reads;
    std::vector<batch_handler> polls;
};

struct ignoring_observer : i_cluster_observer
{
    void
    on_configuration(std::shared_ptr<gateway::routing_table const>) override
    {
    }
    void on_endpoints(std::vector<gateway::endpoint_entry> const&) override {}
    void on_target(weights::model_target const& target, table_row const&,
                   std::optional<kernel::steady_time>) override
    {
        targets[target.model] = target.version;
    }

    std::map<kernel::model_id, weights::weight_version> targets;
};

/// A process that follows the operators' table.
struct process
{
    process()
        : log(clock, "test", 0)
        , random(1)
        , view(context, clock, decoder, observer, log)
    {
        follower_options options;
        options.restored_read_spread = std::chrono::milliseconds(0);
        follower = std::make_shared<table_follower>(
            context, clock, feed, random, view.operator_rows_listener(),
            options);
        exchange.set_follower(follower);
        exchange.set_view(view);
        follower->start();
    }

    void read(std::vector<table_row> rows, kernel::store_position position)
    {
        feed.full_reads.back()(row_batch{std::move(rows), position, {}});
    }

    /// What a request for rows of `other` does to both.
    void request_from(process& other)
    {
        auto const after = exchange.position();
        exchange.merge(other.exchange.rows_after(after));
        other.exchange.on_named_era(after.era);
        tests::run_due(context);
        tests::run_due(other.context);
    }

    asio::io_context context;
    kernel::manual_clock clock;
    observe::decision_log log;
    kernel::seeded_random_source random;
    open_feed feed;
    tests::versioned_decoder decoder;
    ignoring_observer observer;
    cluster_view view;
    std::shared_ptr<table_follower> follower;
    row_exchange exchange;
};

std::vector<table_row> const before = {{"config", "c9", {1, 30}, false},
                                       {"w", "t4", {1, 31}, false}};
std::vector<table_row> const copy = {{"config", "c7", {2, 5}, false},
                                     {"w", "t3", {2, 6}, false}};

} // namespace

// Guards against a revoked key that is accepted by a process which has only
// read the copy, although another knows the newer configuration.
TEST_CASE("a process that starts in the gap gets what the copy lacks")
{
    process old;
    old.read(before, {1, 40});
    auto const noticed = GENERATE(false, true);
    if (noticed)
    {
        old.exchange.on_named_era(2);
        tests::run_due(old.context);
        old.read(copy, {2, 20});
    }
    process young;
    young.read(copy, {2, 20});
    CHECK(young.view.config_version() == 7);
    young.request_from(old);
    CHECK(young.view.config_version() == 9);
    CHECK(young.observer.targets.at(kernel::model_id("m")) == 4);
    // Its copy of the table is that of the new era.
    CHECK(young.follower->rows().at("config").value == "c7");
    // It passes on what it has learned.
    process third;
    third.read(copy, {2, 20});
    third.request_from(young);
    CHECK(third.view.config_version() == 9);
}

// Guards against rows that are sent with each request after the gap.
TEST_CASE("rows of the earlier era are sent until they are written again")
{
    process old;
    old.read(before, {1, 40});
    old.exchange.on_named_era(2);
    tests::run_due(old.context);
    old.read(copy, {2, 20});
    CHECK(old.exchange.rows_after({2, 20}).size() == 2);
    old.feed.polls.back()(row_batch{
        {{"config", "c9", {2, 21}, false}, {"w", "t5", {2, 22}, false}},
        {2, 22},
        {}});
    CHECK(old.exchange.rows_after({2, 22}).empty());
    CHECK(old.exchange.rows_after({2, 21}).size() == 1);
}

// Guards against a process that stays in an old era, and against its rows that
// replace newer ones.
TEST_CASE("a process with an older era learns of the newer one")
{
    process old;
    old.read({{"config", "c6", {1, 30}, false}}, {1, 40});
    process young;
    young.read(copy, {2, 20});
    SECTION("by the position of a request")
    {
        young.request_from(old);
        // Nothing that the old process sends takes effect.
        CHECK(young.view.config_version() == 7);
        CHECK(young.follower->position() == kernel::store_position{2, 20});
        CHECK(old.follower->newest_era() == 2);
        CHECK(old.feed.full_reads.size() == 2);
        CHECK(young.feed.full_reads.size() == 1);
    }
    SECTION("by the rows of an answer")
    {
        old.request_from(young);
        CHECK(old.view.config_version() == 7);
        CHECK(old.exchange.position() == kernel::store_position{2, 6});
        CHECK(old.feed.full_reads.size() == 2);
        // The rows are not sent again.
        CHECK(young.exchange.rows_after(old.exchange.position()).empty());
    }
}

// Guards against a fleet in the middle of an update. An earlier version of the
// program names no era, so its rows count by their content alone and it gets
// all rows with each request.
TEST_CASE("a peer of an earlier program version names no era")
{
    process it;
    it.read(copy, {2, 20});
    it.exchange.merge({{"config", "c6", {0, 900}}});
    CHECK(it.view.config_version() == 7);
    it.exchange.merge({{"config", "c8", {0, 3}}});
    CHECK(it.view.config_version() == 8);
    CHECK(it.follower->rows().at("config").value == "c7");
    it.exchange.on_named_era(0);
    CHECK(it.follower->newest_era() == 2);
    CHECK(it.feed.full_reads.size() == 1);
    CHECK(it.exchange.rows_after({0, 900}).size() == 3);
    // Without eras nothing is sent beyond the newer rows.
    process unnamed;
    unnamed.read({{"config", "c9", {0, 30}, false}}, {0, 40});
    CHECK(unnamed.exchange.rows_after({0, 30}).empty());
    CHECK(unnamed.exchange.rows_after({0, 29}).size() == 1);
}

} // namespace endiveward::follower
