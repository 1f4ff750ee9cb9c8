#include "follower/i_table_listener.hpp"
#include "follower/row_exchange.hpp"
#include "follower/table_follower.hpp"
#include "kernel/seeded_random_source.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <deque>

namespace endiveward::follower
{

namespace
{

using storage::feed_error;
using storage::row_batch;
using storage::table_row;

/// Answers each call with the next prepared answer, or never if there is none.
struct scripted_feed : storage::i_row_feed
{
    void read_all(std::string const&, std::chrono::milliseconds,
                  batch_handler on_done) override
    {
        ++full_read_count;
        answer(full_reads, on_done);
    }

    void wait_for_changes(std::string const&,
                          kernel::store_position const& after,
                          std::chrono::milliseconds wait,
                          std::chrono::milliseconds,
                          batch_handler on_done) override
    {
        waited_after.push_back(after.version);
        waits.push_back(wait);
        answer(changes, on_done);
    }

    static void answer(std::deque<batch_result>& queue,
                       batch_handler const& on_done)
    {
        if (queue.empty())
            return;
        auto res = std::move(queue.front());
        queue.pop_front();
        on_done(std::move(res));
    }

    std::deque<batch_result> full_reads;
    std::deque<batch_result> changes;
    std::vector<std::uint64_t> waited_after;
    std::vector<std::chrono::milliseconds> waits;
    int full_read_count = 0;
};

struct recording_listener : i_table_listener
{
    void on_rows(std::vector<table_row> const& changed,
                 kernel::store_position const&) override
    {
        rows.insert(rows.end(), changed.begin(), changed.end());
    }

    void on_reachability_change(bool reachable, std::string const&) override
    {
        reachability.push_back(reachable);
    }

    std::vector<table_row> rows;
    std::vector<bool> reachability;
};

struct fixture
{
    fixture()
        : random(1)
    {
        follower_options options;
        options.table = "t";
        options.coalescing_delay = std::chrono::milliseconds(0);
        options.initial_backoff = std::chrono::milliseconds(1);
        options.max_backoff = std::chrono::milliseconds(2);
        options.period = std::chrono::milliseconds(20);
        follower = std::make_shared<table_follower>(context, feed, random,
                                                    listener, options);
    }

    void start()
    {
        follower->start();
        context.run();
        context.restart();
    }

    asio::io_context context;
    kernel::seeded_random_source random;
    scripted_feed feed;
    recording_listener listener;
    std::shared_ptr<table_follower> follower;
};

} // namespace

TEST_CASE("a table is read once and then its changes")
{
    fixture f;
    f.feed.full_reads = {row_batch{{{"a", "1", {0, 3}, false}}, {0, 5}}};
    f.feed.changes = {row_batch{{{"b", "2", {0, 7}, false}}, {0, 8}},
                      row_batch{{}, {0, 9}}};
    f.start();
    CHECK(f.feed.full_read_count == 1);
    CHECK(f.feed.waited_after == std::vector<std::uint64_t>{5, 8, 9});
    CHECK(f.listener.rows.size() == 2);
    CHECK(f.listener.reachability == std::vector<bool>{true});
}

// Guards against rows that stay in the copy although they were deleted in a
// period for which the store has lost the history of changes.
TEST_CASE("after lost history a full read reports the differences")
{
    fixture f;
    f.feed.full_reads = {
        row_batch{{{"a", "1", {0, 3}, false}, {"b", "2", {0, 4}, false}},
                  {0, 5}},
        row_batch{{{"b", "2", {0, 4}, false}, {"c", "3", {0, 8}, false}},
                  {0, 9}}};
    f.feed.changes = {
        feed_error{feed_error::reason::history_lost, "status=410"}};
    f.start();
    REQUIRE(f.listener.rows.size() == 4);
    CHECK(f.listener.rows[2] == table_row{"c", "3", {0, 8}, false});
    CHECK(f.listener.rows[3].key == "a");
    CHECK(f.listener.rows[3].deleted);
    CHECK(f.follower->rows().size() == 2);
}

TEST_CASE("a request that the store does not answer is retried")
{
    fixture f;
    f.feed.full_reads = {feed_error{feed_error::reason::unreachable, "timeout"},
                         feed_error{feed_error::reason::refused, "status=503"},
                         row_batch{{{"a", "1", {0, 3}, false}}, {0, 5}}};
    f.feed.changes = {feed_error{feed_error::reason::refused, "status=503"},
                      row_batch{{}, {0, 6}}};
    f.start();
    CHECK(f.feed.full_read_count == 3);
    CHECK(f.follower->rows().size() == 1);
    CHECK(f.listener.reachability == std::vector<bool>{true, false, true});
}

// Guards against rows of another process that restore deleted or replaced rows.
TEST_CASE("rows of other processes are merged only if they are newer")
{
    fixture f;
    f.feed.full_reads = {row_batch{{{"a", "1", {0, 3}, false}}, {0, 5}}};
    f.start();
    f.listener.rows.clear();
    f.follower->merge(
        {{"a", "old", {0, 2}, false}, {"gone", "x", {0, 4}, false}});
    CHECK(f.listener.rows.empty());
    f.follower->merge({{"a", "new", {0, 6}, false}});
    REQUIRE(f.listener.rows.size() == 1);
    CHECK(f.follower->rows().at("a").value == "new");
}

// Guards against a fleet of agents that each make a call for each change: 180
// of them made 2500 of the 7810 calls of a day.
TEST_CASE("a periodic follower asks without waiting for changes")
{
    fixture f;
    f.feed.full_reads = {row_batch{{{"a", "1", {0, 3}, false}}, {0, 5}}};
    f.feed.changes = {row_batch{{{"b", "2", {0, 7}, false}}, {0, 8}},
                      row_batch{{}, {0, 9}}};
    f.follower->set_mode(follow_mode::periodic);
    auto const begin = std::chrono::steady_clock::now();
    f.start();
    CHECK(std::chrono::steady_clock::now() - begin >=
          std::chrono::milliseconds(60));
    CHECK(f.feed.waited_after == std::vector<std::uint64_t>{5, 8, 9});
    CHECK(f.feed.waits == std::vector<std::chrono::milliseconds>(
                              3, std::chrono::milliseconds(0)));
    CHECK(f.listener.rows.size() == 2);
}

// Guards against an agent that has lost its routers and learns of new weights
// only at the end of the period.
TEST_CASE("a follower that returns to long polls calls immediately")
{
    fixture f;
    f.feed.full_reads = {row_batch{{{"a", "1", {0, 3}, false}}, {0, 5}}};
    f.follower->set_mode(follow_mode::periodic);
    f.follower->start();
    f.context.poll();
    CHECK(f.feed.waits.empty());
    f.follower->set_mode(follow_mode::long_poll);
    REQUIRE(f.feed.waits.size() == 1);
    CHECK(f.feed.waits[0] > std::chrono::milliseconds(0));
    f.context.run();
    CHECK(f.feed.waits.size() == 1);
}

TEST_CASE("processes exchange the rows that the other lacks")
{
    fixture f;
    f.feed.full_reads = {row_batch{
        {{"a", "1", {0, 3}, false}, {"b", "2", {0, 4}, false}}, {0, 9}}};
    f.start();
    row_exchange exchange;
    CHECK(exchange.rows_after({0, 0}).empty());
    exchange.set_follower(f.follower);
    CHECK(exchange.position().version == 4);
    REQUIRE(exchange.rows_after({0, 3}).size() == 1);
    CHECK(exchange.rows_after({0, 3})[0].key == "b");
    exchange.merge({{"c", "3", {0, 12}}});
    CHECK(exchange.position().version == 12);
}

} // namespace endiveward::follower
