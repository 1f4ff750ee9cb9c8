#include "resumption/version_history.hpp"

#include "kernel/manual_clock.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace endiveward::resumption
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using listing = version_history::listing;
using versions = std::set<kernel::software_version>;

kernel::service_id const service("s");
kernel::software_version const v1("v1");
kernel::software_version const v2("v2");
constexpr milliseconds step{20};
/// A transaction or read, with its way to the store and back.
constexpr milliseconds call_time{40};
/// Through an agent, which collects notices for 50 ms.
constexpr milliseconds notice_time{80};
constexpr milliseconds lifetime{30000};

/// The table of the platform's store.
class test_store
{
public:
    /// None if a condition did not hold.
    std::optional<kernel::store_position>
    commit(storage::table_transaction const& tx)
    {
        ++commits;
        for (auto const& it : tx.conditions)
        {
            auto const found = rows_.find(it.key);
            auto const version =
                found == rows_.end() ? 0 : found->second.position.version;
            if (version != it.version)
                return std::nullopt;
        }
        ++version_;
        for (auto const& it : tx.writes)
        {
            if (it.value)
                rows_[it.key] = {it.key, *it.value, {era, version_}, false};
            else
                rows_.erase(it.key);
        }
        return kernel::store_position{era, version_};
    }

    storage::row_batch read(kernel::steady_time now)
    {
        ++reads;
        storage::row_batch res;
        res.position = {era, version_};
        // Its clock has nothing to do with that of the routers.
        res.store_time =
            seconds(5000) +
            std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
        for (auto const& [key, row] : rows_)
            res.rows.push_back(row);
        return res;
    }

    void lose_rows()
    {
        rows_.clear();
        ++era;
    }

    std::size_t size() const { return rows_.size(); }

    int commits = 0;
    int reads = 0;
    std::uint64_t era = 1;
    bool silent = false;

private:
    std::uint64_t version_ = 0;
    std::map<std::string, storage::table_row> rows_;
};

/// Routers with a store and agents between them, in steps of time.
class deployment
{
public:
    explicit deployment(int routers, bool with_agents = true)
        : with_agents_(with_agents)
    {
        for (int n = 0; n < routers; ++n)
            shares_.push_back((n + 0.5) / routers);
        start_routers(true);
    }

    /// Kills all that run.
    void start_routers(bool first_start)
    {
        routers.clear();
        notices_.clear();
        calls_.clear();
        for (auto const share : shares_)
        {
            routers.push_back(
                std::make_unique<version_history>(first_start, share));
            routers.back()->set_services({service});
            routers.back()->on_listed(listed_, clock.now());
        }
        busy_.assign(routers.size(), false);
    }

    void list(std::vector<kernel::software_version> const& versions)
    {
        listed_.clear();
        for (auto const& it : versions)
            listed_.emplace(service, it);
        for (std::size_t n = 0; n < routers.size(); ++n)
        {
            if (n != cut_off)
                routers[n]->on_listed(listed_, clock.now());
        }
    }

    void run(milliseconds time)
    {
        auto const end = clock.now() + time;
        while (clock.now() < end)
        {
            clock.advance(step);
            deliver();
            for (std::size_t n = 0; n < routers.size(); ++n)
                act(n);
        }
    }

    kernel::manual_clock clock;
    test_store store;
    /// A router that neither hears notices nor sees changes of the list.
    std::optional<std::size_t> cut_off;
    std::vector<std::unique_ptr<version_history>> routers;

private:
    struct event
    {
        kernel::steady_time at;
        std::function<void()> act;
    };

    static void run_due(std::deque<event>& events, kernel::steady_time now)
    {
        while (!events.empty() && events.front().at <= now)
        {
            auto const act = std::move(events.front().act);
            events.pop_front();
            act();
        }
    }

    void deliver(version_notice const& notice)
    {
        for (std::size_t n = 0; n < routers.size(); ++n)
        {
            if (n != cut_off)
                routers[n]->on_notice(notice, clock.now());
        }
    }

    void deliver()
    {
        run_due(calls_, clock.now());
        run_due(notices_, clock.now());
    }

    void act(std::size_t n)
    {
        auto& it = *routers[n];
        auto const now = clock.now();
        it.on_era(store.era, now);
        for (auto const& notice : it.take_notices())
        {
            if (with_agents_)
                notices_.push_back(
                    {now + notice_time, [this, notice] { deliver(notice); }});
        }
        if (busy_[n])
            return;
        if (it.needs_read(now))
        {
            it.on_read_begun(now);
            return call(n, [this, &it, batch = store.read(now)]
                        { it.on_read(batch, clock.now()); });
        }
        if (auto const tx = it.next(now))
            call(n,
                 [this, &it,
                  position = store.silent ? std::nullopt : store.commit(*tx)]
                 {
                     if (position)
                         it.on_committed(*position, clock.now());
                     else
                         it.on_conflict(store.read(clock.now()).rows,
                                        clock.now());
                 });
    }

    void call(std::size_t n, std::function<void()> done)
    {
        busy_[n] = true;
        calls_.push_back({clock.now() + call_time,
                          [this, n, done = std::move(done),
                           silent = store.silent, &it = *routers[n]]
                          {
                              busy_[n] = false;
                              if (silent)
                                  it.on_failed(clock.now());
                              else
                                  done();
                          }});
    }

    bool with_agents_;
    std::vector<double> shares_;
    listing listed_;
    std::vector<bool> busy_;
    std::deque<event> calls_;
    std::deque<event> notices_;
};

versions counted(version_history const& it, kernel::steady_time now)
{
    return it.snapshot(now).versions_of(service, lifetime, now);
}

bool complete(version_history const& it, kernel::steady_time now)
{
    return it.snapshot(now).complete(service, lifetime, now);
}

} // namespace

// Load pattern: all routers start together, and later list a new version
// together. Guards against calls for each router and version.
TEST_CASE("of 28 routers that see a version few write")
{
    deployment all(28);
    all.list({v1});
    all.run(seconds(5));
    CHECK(all.store.reads == 28);
    CHECK(all.store.commits <= 3);
    auto const before = all.store.commits;
    all.list({v1, v2});
    all.run(seconds(5));
    CHECK(all.store.commits - before <= 3);
    all.list({v2});
    all.run(seconds(20));
    CHECK(all.store.commits - before <= 6);
    all.start_routers(false);
    all.run(seconds(5));
    CHECK(all.store.reads == 56);
    CHECK(all.store.commits - before <= 6);
}

// As above without agents: nobody hears of another one's rows.
TEST_CASE("without agents each router writes a version at most once")
{
    deployment all(4, false);
    all.list({v1});
    all.run(seconds(20));
    CHECK(all.store.commits <= 4);
}

// Load pattern: all routers are killed some seconds after the first start.
// Guards against refusing streams of a service with one version.
TEST_CASE("one version since the first start is a complete history after all "
          "routers were killed")
{
    auto const agents = GENERATE(true, false);
    auto const killed_after = GENERATE(seconds(2), seconds(10));
    deployment all(GENERATE(1, 4, 28), agents);
    all.list({v1});
    all.run(killed_after);
    for (auto const& it : all.routers)
        CHECK(complete(*it, all.clock.now()));
    all.start_routers(false);
    all.run(2 * call_time);
    for (auto const& it : all.routers)
    {
        CHECK(complete(*it, all.clock.now()));
        CHECK(counted(*it, all.clock.now()) == versions{v1});
        CHECK(it->may_send(service, v1, all.clock.now()));
    }
}

// Load pattern: the old version leaves while all routers are down.
TEST_CASE("a version that left while routers were down counts for the lifetime "
          "of streams")
{
    deployment all(4);
    all.list({v1});
    all.run(seconds(100));
    all.list({v2});
    all.start_routers(false);
    all.run(seconds(1));
    for (auto const& it : all.routers)
        CHECK(counted(*it, all.clock.now()) == versions{v1, v2});
    all.run(seconds(20));
    // The row tells when it went, so that it does not count anew.
    all.start_routers(false);
    all.run(seconds(1));
    CHECK(counted(*all.routers[0], all.clock.now()) == versions{v1, v2});
    all.run(seconds(20));
    CHECK(counted(*all.routers[0], all.clock.now()) == versions{v2});
    CHECK(complete(*all.routers[0], all.clock.now()));
}

// Load pattern: a router is cut off from the others, or stands still, while
// endpoints of a new version join. Guards against streams that began at them
// through other routers and that it takes for streams of the old version.
TEST_CASE("a router that was out of step knows all versions only after it has "
          "read them again")
{
    deployment all(4);
    all.list({v1});
    all.run(seconds(5));
    all.cut_off = 3;
    auto& it = *all.routers[3];
    all.list({v1, v2});
    all.run(seconds(5));
    REQUIRE(counted(it, all.clock.now()) == versions{v1});
    REQUIRE(all.store.size() == 3);
    it.on_out_of_step(all.clock.now());
    auto const asked = all.clock.now();
    CHECK_FALSE(it.snapshot(asked).known_at(asked));
    CHECK(it.confirm(asked));
    all.run(2 * call_time);
    CHECK(it.snapshot(all.clock.now()).known_at(asked));
    CHECK(counted(it, all.clock.now()) == versions{v1, v2});
    // It is in step again.
    CHECK_FALSE(it.confirm(all.clock.now()));
    auto const reads = all.store.reads;
    all.run(seconds(5));
    CHECK(all.store.reads == reads);
}

// Guards against a read that began before a stream was taken up and that counts
// for it, and against reads that go on without a need.
TEST_CASE("versions are read for a decision only after it was asked for")
{
    deployment all(1);
    all.list({v1});
    all.run(seconds(5));
    auto& it = *all.routers[0];
    auto const reads = all.store.reads;
    CHECK_FALSE(it.confirm(all.clock.now()));
    it.on_out_of_step(all.clock.now());
    CHECK(it.confirm(all.clock.now()));
    all.run(2 * step);
    // Cut off until now: the read that is open may miss a row.
    it.on_out_of_step(all.clock.now());
    auto const asked = all.clock.now();
    CHECK(it.confirm(asked));
    all.run(step);
    CHECK_FALSE(it.snapshot(all.clock.now()).known_at(asked));
    all.run(2 * call_time);
    CHECK(it.snapshot(all.clock.now()).known_at(asked));
    CHECK(all.store.reads == reads + 2);
    all.store.silent = true;
    it.on_out_of_step(all.clock.now());
    CHECK(it.confirm(all.clock.now()));
    all.run(seconds(30));
    CHECK_FALSE(it.snapshot(all.clock.now()).known_at(all.clock.now()));
    CHECK(all.store.reads <= reads + 4);
}

// Guards against streams at a version that a router that starts later cannot
// know, and against a service that does not serve while the store is silent.
TEST_CASE("requests go to a version once it is recorded or has waited")
{
    deployment all(2);
    all.list({v1});
    all.run(seconds(5));
    all.store.silent = GENERATE(true, false);
    all.list({v1, v2});
    auto const listed_at = all.clock.now();
    CHECK_FALSE(all.routers[1]->may_send(service, v2, listed_at));
    while (!all.routers[1]->may_send(service, v2, all.clock.now()))
        all.run(step);
    CHECK(all.store.size() == (all.store.silent ? 2 : 3));
    CHECK(all.clock.now() - listed_at <= seconds(2));
    CHECK(all.routers[1]->may_send(service, v1, all.clock.now()));
    CHECK(all.routers[1]->may_send(kernel::service_id("other"), v2,
                                   all.clock.now()));
}

// A version that was used while the store took no writes is recorded later,
// although no endpoint has it any more.
TEST_CASE("a version that could not be recorded in time counts when it is gone")
{
    deployment all(2);
    all.list({v1});
    all.run(seconds(5));
    all.store.silent = true;
    all.list({v1, v2});
    all.run(seconds(5));
    all.list({v1});
    all.run(seconds(5));
    CHECK(counted(*all.routers[0], all.clock.now()) == versions{v1, v2});
    all.store.silent = false;
    all.run(seconds(20));
    all.start_routers(false);
    all.run(seconds(1));
    CHECK(counted(*all.routers[0], all.clock.now()) == versions{v1, v2});
}

// Load pattern: a store that takes no calls. Guards against a storm of them.
TEST_CASE("failed writes are repeated seldom")
{
    version_history it(false, 0.5);
    it.set_services({service});
    kernel::steady_time now{seconds(1)};
    it.on_read({}, now);
    it.on_listed({{service, v1}}, now);
    int calls = 0;
    for (auto const end = now + minutes(1); now < end; now += step)
    {
        if (!it.next(now))
            continue;
        ++calls;
        it.on_failed(now);
    }
    CHECK(calls > 3);
    CHECK(calls < 14);
}

// Load pattern: routers are upgraded from a program that records nothing.
TEST_CASE("without earlier rows the history is complete after the lifetime")
{
    version_history it(false, 0.5);
    it.set_services({service});
    kernel::steady_time now{seconds(100)};
    it.on_listed({{service, v1}}, now);
    CHECK_FALSE(complete(it, now));
    it.on_read({}, now);
    CHECK_FALSE(complete(it, now + lifetime - seconds(1)));
    CHECK(complete(it, now + lifetime));
}

// Load pattern: engines restart together, and with a release that is undone.
TEST_CASE("a version that comes back is recorded anew")
{
    deployment all(4);
    all.list({v1});
    all.run(seconds(5));
    auto const commits = all.store.commits;
    all.list({});
    all.run(seconds(5));
    all.list({v1});
    all.run(seconds(5));
    CHECK(all.store.commits == commits);
    all.list({v2});
    all.run(seconds(100));
    all.list({v1, v2});
    CHECK_FALSE(all.routers[0]->may_send(service, v1, all.clock.now()));
    all.run(seconds(5));
    CHECK(all.routers[0]->may_send(service, v1, all.clock.now()));
    all.start_routers(false);
    all.run(seconds(1));
    CHECK(counted(*all.routers[0], all.clock.now()) == versions{v1, v2});
}

// Load pattern: the store comes back from a copy without rows.
TEST_CASE("rows that a restore has lost are written again")
{
    deployment all(28);
    all.list({v1});
    all.run(seconds(50));
    all.list({v2});
    all.run(seconds(15));
    auto const commits = all.store.commits;
    all.store.lose_rows();
    all.run(seconds(5));
    CHECK(all.store.size() == 3);
    CHECK(all.store.commits - commits <= 3);
    all.start_routers(false);
    all.run(seconds(1));
    CHECK(counted(*all.routers[0], all.clock.now()) == versions{v1, v2});
    CHECK(complete(*all.routers[0], all.clock.now()));
}

// Load pattern: routers collect changes of the list for up to two seconds, so
// that some list a version after others have recorded it.
TEST_CASE("routers that list a version later do not write it again")
{
    deployment all(28);
    all.list({v1});
    all.run(seconds(5));
    auto const commits = all.store.commits;
    for (auto const& it : all.routers)
    {
        it->on_listed({{service, v1}, {service, v2}}, all.clock.now());
        all.run(milliseconds(60));
    }
    CHECK(all.routers.back()->may_send(service, v2, all.clock.now()));
    CHECK(all.store.commits - commits <= 3);
    CHECK(all.store.reads == 28);
}

// Load pattern: a version is listed for less time than the list takes to reach
// all routers. Guards against a router that misses it.
TEST_CASE("a row that another router has written is not overlooked")
{
    deployment all(4);
    all.list({v1});
    all.run(seconds(5));
    auto& other = *all.routers[0];
    other.on_listed({{service, v1}, {service, v2}}, all.clock.now());
    all.run(seconds(1));
    REQUIRE(other.may_send(service, v2, all.clock.now()));
    other.on_listed({{service, v1}}, all.clock.now());
    all.run(seconds(1));
    CHECK_FALSE(complete(*all.routers[3], all.clock.now()));
    all.run(seconds(6));
    CHECK(complete(*all.routers[3], all.clock.now()));
    CHECK(counted(*all.routers[3], all.clock.now()) == versions{v1, v2});
}

// Guards against rows of another program in the table.
TEST_CASE("rows that cannot be read are replaced")
{
    version_history it(false, 0.5);
    it.set_services({service});
    kernel::steady_time now{seconds(100)};
    it.on_listed({{service, v1}}, now);
    storage::row_batch batch;
    batch.rows = {{record_start_key, "x", {1, 3}, false},
                  {"s/v1", "x", {1, 4}, false}};
    it.on_read(batch, now);
    now += seconds(3);
    REQUIRE(it.next(now));
    it.on_conflict(batch.rows, now);
    CHECK(it.may_send(service, v1, now));
    auto const next = it.next(now);
    REQUIRE(next);
    REQUIRE(next->conditions.size() == 1);
    CHECK(next->conditions[0].version == 4);
    CHECK(counted(it, now) == versions{v1});
}

// Guards against a table that grows with each release.
TEST_CASE("rows of versions that are long gone are removed with the next write")
{
    deployment all(4);
    all.list({v1});
    all.run(seconds(5));
    all.list({v2});
    all.run(seconds(20));
    CHECK(all.store.size() == 3);
    all.clock.advance(minutes(70));
    all.list({v2, kernel::software_version("v3")});
    all.run(seconds(5));
    CHECK(all.store.size() == 3);
}

TEST_CASE("rows and the start of the record are read as they were written")
{
    version_row row{service, v1, milliseconds(7), {}};
    CHECK(decode_version_row(encode(row)) == row);
    row.gone = milliseconds(9);
    CHECK(decode_version_row(encode(row)) == row);
    CHECK(decode_record_start(encode(record_start())) == record_start());
    record_start const since{milliseconds(5)};
    CHECK(decode_record_start(encode(since)) == since);
    CHECK_FALSE(decode_version_row("x"));
    CHECK_FALSE(decode_version_row(R"({"service":1})"));
    CHECK_FALSE(decode_record_start("{}"));
    CHECK(row_key(service, v1) == "s/v1");
    CHECK(row_key(service, kernel::software_version(std::string(300, 'x')))
              .size() <= 200);
}

} // namespace endiveward::resumption
