#include "follower/i_table_listener.hpp"
#include "follower/row_exchange.hpp"
#include "follower/table_follower.hpp"
#include "follower/tests/support/run_due.hpp"
#include "kernel/manual_clock.hpp"
#include "kernel/seeded_random_source.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
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

/// Keeps the handlers of its calls open, so that a test answers them late.
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

struct recording_listener : i_table_listener
{
    void on_rows(std::vector<table_row> const& changed,
                 kernel::store_position const&) override
    {
        rows.insert(rows.end(), changed.begin(), changed.end());
    }

    void on_restored_rows(std::vector<table_row> const& all,
                          kernel::store_position const& position) override
    {
        restored.push_back(all);
        restored_at.push_back(position);
    }

    void on_era_notice(era_notice const& notice) override
    {
        notices.push_back(notice);
    }

    void on_contact_change(contact_change const& change) override
    {
        reachability.push_back(change.reachable);
    }

    std::vector<table_row> rows;
    /// What each first full read of a new era contained.
    std::vector<std::vector<table_row>> restored;
    std::vector<kernel::store_position> restored_at;
    std::vector<era_notice> notices;
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
        options.restored_read_spread = std::chrono::milliseconds(0);
        follower = std::make_shared<table_follower>(context, clock, feed,
                                                    random, listener, options);
    }

    void start()
    {
        follower->start();
        context.run();
        context.restart();
    }

    asio::io_context context;
    kernel::manual_clock clock;
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

// Guards against a process that learns that the store is back only when
// something changes there, or when a long poll times out.
TEST_CASE("the first call after a failure does not wait for changes")
{
    using std::chrono::milliseconds;
    fixture f;
    f.feed.full_reads = {row_batch{{{"a", "1", {0, 3}, false}}, {0, 5}}};
    f.feed.changes = {feed_error{feed_error::reason::unreachable, "timeout"},
                      feed_error{feed_error::reason::refused, "status=503"},
                      row_batch{{}, {0, 5}}};
    f.start();
    REQUIRE(f.feed.waits.size() == 4);
    CHECK(f.feed.waits[0] > milliseconds(0));
    CHECK(f.feed.waits[1] == milliseconds(0));
    CHECK(f.feed.waits[2] == milliseconds(0));
    CHECK(f.feed.waits[3] > milliseconds(0));
    CHECK(f.listener.reachability == std::vector<bool>{true, false, true});
}

// Guards against a connection that dies while a call is open and is noticed
// later than the platform allows a process to be out of date (3 s).
TEST_CASE("a call that is never answered ends before the process is outdated")
{
    using std::chrono::milliseconds;
    follower_options const options;
    // The rest is for the call that replaces it.
    CHECK(options.long_poll_time + options.response_timeout <=
          milliseconds(2500));
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

namespace
{

struct late_fixture
{
    late_fixture()
        : random(1)
    {
        options.table = "t";
        options.coalescing_delay = std::chrono::milliseconds(0);
        options.initial_backoff = std::chrono::milliseconds(0);
        options.max_backoff = std::chrono::milliseconds(0);
        options.restored_read_spread = std::chrono::milliseconds(0);
    }

    /// Starts a follower that has read `rows` as of `position` and has a long
    /// poll open.
    void start(std::vector<table_row> rows, kernel::store_position position)
    {
        follower = std::make_shared<table_follower>(context, clock, feed,
                                                    random, listener, options);
        follower->start();
        feed.full_reads.at(0)(row_batch{std::move(rows), position, {}});
        run();
    }

    void run() { tests::run_due(context); }

    asio::io_context context;
    kernel::manual_clock clock;
    kernel::seeded_random_source random;
    open_feed feed;
    recording_listener listener;
    follower_options options;
    std::shared_ptr<table_follower> follower;
};

/// Answers that name a newer era without being a read of the whole table.
storage::i_row_feed::batch_result answer_of_era(int which, std::uint64_t era)
{
    using reason = feed_error::reason;
    if (which == 0)
        return row_batch{{{"x", "9", {era, 6}, false}}, {era, 6}, {}};
    if (which == 1)
        return feed_error{reason::history_lost, "status=410", era, {}};
    if (which == 2)
        return feed_error{reason::refused, "status=503", era, {}};
    return feed_error{reason::unreachable, "status=500", era, {}};
}

} // namespace

// Guards against a follower that ignores the restored store until its versions
// have caught up, and then mixes rows of two histories.
TEST_CASE("any answer of a newer era makes the follower read the table again")
{
    auto const which = GENERATE(0, 1, 2, 3);
    late_fixture f;
    f.start({{"a", "1", {1, 30}, false}, {"b", "2", {1, 40}, false}}, {1, 50});
    f.feed.polls.at(0)(answer_of_era(which, 2));
    f.run();
    REQUIRE(f.feed.full_reads.size() == 2);
    CHECK(f.feed.polls.size() == 1);
    // What is known stays until the table has been read.
    CHECK(f.follower->rows().size() == 2);
    CHECK(f.listener.rows.size() == 2);
    f.feed.full_reads.at(1)(row_batch{
        {{"a", "0", {2, 3}, false}, {"c", "4", {2, 5}, false}}, {2, 7}, {}});
    CHECK(f.follower->position() == kernel::store_position{2, 7});
    CHECK(f.follower->rows().size() == 2);
    CHECK(f.follower->rows().at("a").value == "0");
    CHECK_FALSE(f.follower->rows().contains("b"));
    REQUIRE(f.listener.restored.size() == 1);
    CHECK(f.listener.restored[0].size() == 2);
    REQUIRE(f.listener.notices.size() == 1);
    CHECK(f.listener.notices[0].what == era_notice::kind::newer);
    CHECK(f.feed.polls.size() == 2);
}

// Guards against a restore that is noticed by a full read alone, after history
// was lost.
TEST_CASE("a full read of a newer era replaces the rows")
{
    late_fixture f;
    f.start({{"a", "1", {1, 30}, false}}, {1, 50});
    f.feed.polls.at(0)(
        feed_error{feed_error::reason::history_lost, "status=410", 0, {}});
    f.feed.full_reads.at(1)(row_batch{{{"b", "2", {4, 5}, false}}, {4, 8}, {}});
    REQUIRE(f.listener.restored.size() == 1);
    CHECK(f.listener.restored_at[0] == kernel::store_position{4, 8});
    CHECK(f.follower->rows().size() == 1);
    // A jump by more than one is reported with both eras.
    REQUIRE(f.listener.notices.size() == 1);
    CHECK(f.listener.notices[0].known == 1);
    CHECK(f.listener.notices[0].named == 4);
}

// Guards against a process that starts later because a store that refuses its
// first call names an era.
TEST_CASE("the first era that is named delays no start")
{
    late_fixture f;
    f.options.restored_read_spread = std::chrono::hours(1);
    f.follower = std::make_shared<table_follower>(
        f.context, f.clock, f.feed, f.random, f.listener, f.options);
    f.follower->start();
    f.feed.full_reads.at(0)(
        feed_error{feed_error::reason::refused, "status=503", 3, {}});
    f.run();
    REQUIRE(f.feed.full_reads.size() == 2);
    f.feed.full_reads.at(1)(row_batch{{{"a", "1", {3, 2}, false}}, {3, 5}, {}});
    CHECK(f.follower->rows().size() == 1);
    CHECK(f.listener.notices.empty());
}

// Guards against answers of calls that were open over the restore.
TEST_CASE("a late answer of an older era changes nothing")
{
    late_fixture f;
    f.start({{"a", "1", {1, 30}, false}}, {1, 50});
    f.follower->on_named_era(2);
    f.run();
    REQUIRE(f.feed.full_reads.size() == 2);
    // The long poll of the old era answers after the other process has named
    // the new one.
    f.feed.polls.at(0)(row_batch{{{"a", "old", {1, 60}, false}}, {1, 60}, {}});
    f.run();
    CHECK(f.follower->rows().at("a").value == "1");
    CHECK(f.feed.full_reads.size() == 2);
    // So may the full read.
    f.feed.full_reads.at(1)(
        row_batch{{{"a", "old", {1, 70}, false}}, {1, 70}, {}});
    f.run();
    CHECK(f.follower->rows().at("a").value == "1");
    CHECK(f.listener.restored.empty());
    REQUIRE(f.feed.full_reads.size() == 3);
    f.feed.full_reads.at(2)(
        row_batch{{{"a", "new", {2, 3}, false}}, {2, 4}, {}});
    CHECK(f.follower->rows().at("a").value == "new");
    // Errors of the old era change nothing, either.
    f.feed.polls.at(1)(
        feed_error{feed_error::reason::refused, "status=503", 1, {}});
    f.run();
    CHECK(f.follower->reachable());
    REQUIRE(f.feed.polls.size() == 3);
    f.feed.polls.at(2)(row_batch{{{"a", "old", {1, 80}, false}}, {1, 80}, {}});
    f.run();
    CHECK(f.follower->rows().at("a").value == "new");
    CHECK(f.follower->position() == kernel::store_position{2, 4});
    CHECK(f.listener.rows.size() == 1);
}

// Guards against log lines for each answer of a store that stays in an old era.
TEST_CASE("what is odd about the eras is reported once for each era")
{
    late_fixture f;
    f.start({}, {2, 5});
    for (std::size_t n = 0; n < 5; ++n)
    {
        f.feed.polls.at(n)(row_batch{{}, {1, 9}, {}});
        f.run();
    }
    REQUIRE(f.listener.notices.size() == 1);
    CHECK(f.listener.notices[0].what == era_notice::kind::older);
    for (std::size_t n = 5; n < 10; ++n)
    {
        f.feed.polls.at(n)(row_batch{{}, {0, 9}, "missing"});
        f.run();
    }
    REQUIRE(f.listener.notices.size() == 2);
    CHECK(f.listener.notices[1].what == era_notice::kind::unnamed);
    CHECK(f.listener.notices[1].reason == "missing");
}

// Guards against a process that ignores the store because its answers lack the
// header that they had before.
TEST_CASE("answers without an era count as of the era of their call")
{
    late_fixture f;
    f.start({{"a", "1", {2, 3}, false}}, {2, 5});
    f.feed.polls.at(0)(
        row_batch{{{"a", "2", {0, 6}, false}}, {0, 6}, "missing"});
    f.run();
    CHECK(f.follower->rows().at("a").value == "2");
    CHECK(f.follower->position() == kernel::store_position{2, 6});
    // One that was requested before a restore is old.
    f.feed.polls.at(1)(feed_error{feed_error::reason::history_lost, "", 0, {}});
    f.follower->on_named_era(3);
    f.feed.full_reads.at(1)(
        row_batch{{{"a", "old", {0, 9}, false}}, {0, 9}, "missing"});
    f.run();
    CHECK(f.follower->rows().at("a").value == "2");
    f.feed.full_reads.at(2)(
        row_batch{{{"a", "3", {0, 4}, false}}, {0, 4}, "missing"});
    CHECK(f.follower->rows().at("a").value == "3");
    CHECK(f.follower->position() == kernel::store_position{3, 4});
}

// Guards against a store that begins to name its era, after an update.
TEST_CASE("the first era that is named is newer than none")
{
    late_fixture f;
    f.start({{"a", "1", {0, 3}, false}}, {0, 5});
    f.feed.polls.at(0)(row_batch{{}, {1, 6}, {}});
    f.run();
    REQUIRE(f.feed.full_reads.size() == 2);
    f.feed.full_reads.at(1)(row_batch{{{"a", "1", {1, 3}, false}}, {1, 6}, {}});
    CHECK(f.follower->position() == kernel::store_position{1, 6});
    CHECK(f.listener.restored.size() == 1);
}

// Guards against a table that is read without pause while the store answers
// with a state older than the known one.
TEST_CASE("an outdated full read is repeated after a delay")
{
    auto const [delay, expected] =
        GENERATE(table<std::chrono::milliseconds, std::size_t>(
            {{std::chrono::hours(1), 2}, {std::chrono::milliseconds(2), 3}}));
    late_fixture f;
    f.options.initial_backoff = delay;
    f.options.max_backoff = delay;
    f.start({{"a", "1", {0, 3}, false}}, {0, 9});
    f.feed.polls.at(0)(feed_error{feed_error::reason::history_lost, "", 0, {}});
    f.feed.full_reads.at(1)(row_batch{{}, {0, 4}, {}});
    f.run();
    if (expected == 3)
        f.context.run_for(std::chrono::seconds(20));
    CHECK(f.feed.full_reads.size() == expected);
    CHECK(f.feed.polls.size() == 1);
    CHECK(f.follower->rows().size() == 1);
}

// Guards against hundreds of processes that read their tables at the moment at
// which the store is back.
TEST_CASE("processes read the restored table at different moments")
{
    constexpr std::size_t processes = 200;
    // With the long spread, the reads made at once are those without a delay.
    auto const spread =
        GENERATE(as<std::chrono::milliseconds>(), std::chrono::hours(100),
                 std::chrono::milliseconds(50));
    auto const expected =
        spread < std::chrono::hours(1) ? processes : std::size_t{0};
    asio::io_context context;
    kernel::manual_clock clock;
    open_feed feed;
    recording_listener listener;
    kernel::seeded_random_source random(7);
    follower_options options;
    options.restored_read_spread = spread;
    std::vector<std::shared_ptr<table_follower>> all;
    for (std::size_t n = 0; n < processes; ++n)
    {
        all.push_back(std::make_shared<table_follower>(
            context, clock, feed, random, listener, options));
        all.back()->start();
        feed.full_reads.back()(row_batch{{}, {1, 5}, {}});
    }
    feed.full_reads.clear();
    for (auto const& it : all)
        it->on_named_era(2);
    if (expected == 0)
        tests::run_due(context);
    else
        context.run_for(std::chrono::seconds(20));
    CHECK(feed.full_reads.size() == expected);
}

// Guards against two chains of calls, one of a timer that had already fired
// when another process named the new era.
TEST_CASE("a follower has one call open whatever it is told")
{
    late_fixture f;
    f.start({}, {1, 5});
    // Both timers have expired when the context runs: the handler of the
    // follower's is queued when that of the other one runs.
    asio::steady_timer other(f.context);
    other.expires_at(asio::steady_timer::time_point());
    other.async_wait(
        [&](std::error_code)
        {
            f.follower->on_named_era(2);
            f.follower->on_named_era(3);
        });
    f.feed.polls.at(0)(
        feed_error{feed_error::reason::refused, "status=503", 1, {}});
    f.run();
    f.run();
    CHECK(f.feed.polls.size() == 1);
    CHECK(f.feed.full_reads.size() == 2);
}

// Guards against rows of an earlier era that replace those of the restored
// table, and against ones that are lost although the copy lacks them.
TEST_CASE("rows of an earlier era are reported but not kept")
{
    late_fixture f;
    f.start({{"a", "1", {2, 3}, false}}, {2, 5});
    f.follower->merge({{"a", "other", {1, 90}, false}});
    CHECK(f.follower->rows().at("a").value == "1");
    REQUIRE(f.listener.rows.size() == 2);
    CHECK(f.listener.rows[1].value == "other");
    // A peer of an earlier program version names no era.
    f.follower->merge({{"a", "unnamed", {0, 99}, false}});
    CHECK(f.follower->rows().at("a").value == "1");
    CHECK(f.listener.rows.size() == 3);
    CHECK(f.listener.notices.empty());
    CHECK(f.feed.full_reads.size() == 1);
}

// Guards against a process that takes its own rows for newer, since their
// versions are greater.
TEST_CASE("rows of a newer era are merged and the table is read again")
{
    late_fixture f;
    f.start({{"a", "1", {1, 30}, false}}, {1, 50});
    f.follower->merge({{"a", "2", {2, 7}, false}});
    CHECK(f.follower->rows().at("a").value == "2");
    f.run();
    REQUIRE(f.feed.full_reads.size() == 2);
    // The read may be older than what the other process has seen.
    f.feed.full_reads.at(1)(row_batch{{{"a", "0", {2, 3}, false}}, {2, 6}, {}});
    CHECK(f.follower->rows().at("a").value == "2");
    REQUIRE(f.listener.restored.size() == 1);
    CHECK(f.listener.restored[0][0].value == "2");
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
