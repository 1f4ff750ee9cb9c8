#include "config/apply_change.hpp"
#include "config/change_log.hpp"
#include "config/change_log_poller.hpp"
#include "config/config_json.hpp"
#include "config/configuration.hpp"
#include "config/log_era.hpp"
#include "kernel/manual_clock.hpp"
#include "kernel/seeded_random_source.hpp"
#include "storage/tests/support/fake_object_store.hpp"
#include "storage/tests/support/fake_table.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace endiveward;
using storage::tests::commit_fault;

namespace
{

struct platform_fakes
{
    std::shared_ptr<storage::tests::fake_table> table =
        std::make_shared<storage::tests::fake_table>();
    std::shared_ptr<storage::tests::fake_object_store> objects =
        std::make_shared<storage::tests::fake_object_store>();

    config::change_log_options options() const
    {
        config::change_log_options res;
        res.sleep = [](auto) {};
        return res;
    }

    std::unique_ptr<config::change_log>
    operator_log(config::change_log_options options) const
    {
        auto res = std::make_unique<config::change_log>(table, objects,
                                                        std::move(options));
        REQUIRE(kernel::ok(res->catch_up()));
        return res;
    }
    std::unique_ptr<config::change_log> operator_log() const
    {
        return operator_log(options());
    }

    std::size_t rows_with_prefix(std::string const& prefix) const
    {
        std::size_t res = 0;
        for (auto const& it : table->rows())
            res += it.first.starts_with(prefix) ? 1 : 0;
        return res;
    }

    std::string head() const { return table->rows().at("config/head").value; }
};

std::vector<config::change_operation> put_rule(std::string const& id,
                                               std::string const& endpoints)
{
    return {
        config::put_object<config::rule_entry>{{id, 0, {"", "", endpoints}}}};
}

/// Commits a rule and returns its version, or 0 for a conflict.
kernel::config_version commit_rule(config::change_log& log,
                                   std::string const& id,
                                   std::string const& rule,
                                   std::string const& endpoints)
{
    auto const res =
        log.commit(log.prepare(id, "author-" + id, put_rule(rule, endpoints)));
    if (!kernel::ok(res))
        FAIL(kernel::failure(res).message);
    auto const* committed =
        std::get_if<config::change_committed>(&kernel::value(res));
    return committed == nullptr ? 0 : committed->version;
}

std::string rule_text(config::change_log& log, std::string const& id)
{
    auto const res = log.catch_up();
    REQUIRE(kernel::ok(res));
    return kernel::value(res)->data()->rules.at(id)->selectors.endpoints;
}

} // namespace

TEST_CASE("a change is one transaction on head, log and change id",
          "[change_log]")
{
    // Guards against a log that other versions or processes cannot read.
    platform_fakes fakes;
    auto const log = fakes.operator_log();
    CHECK(commit_rule(*log, "c1", "r", "zone=a") == 1);
    CHECK(commit_rule(*log, "c2", "r", "zone=b") == 2);
    CHECK(fakes.head() == "2");
    auto const rows = fakes.table->rows();
    CHECK(rows.at("config/changes/c2").value == "2");
    auto const row = rows.at("config/log/00000000000000000002").value;
    auto const parsed = config::parse_change(row);
    REQUIRE(kernel::ok(parsed));
    CHECK(kernel::value(parsed).id == "c2");
    CHECK(rows.size() == 5);
}

TEST_CASE("the same change commits once however often it is sent",
          "[change_log]")
{
    // Guards against a repeated command that applies twice.
    platform_fakes fakes;
    auto const log = fakes.operator_log();
    auto const change = log->prepare("c1", "an", put_rule("r", "zone=a"));
    for (int i = 0; i < 3; ++i)
    {
        auto const res = fakes.operator_log()->commit(change);
        REQUIRE(kernel::ok(res));
        CHECK(std::get<config::change_committed>(kernel::value(res)).version ==
              1);
    }
    CHECK(fakes.head() == "1");
}

TEST_CASE("a change to another object is rebased on the new head",
          "[change_log]")
{
    // Guards against a conflict between changes to different objects.
    platform_fakes fakes;
    auto const first = fakes.operator_log();
    auto const second = fakes.operator_log();
    CHECK(commit_rule(*first, "c1", "r1", "zone=a") == 1);
    CHECK(commit_rule(*second, "c2", "r2", "zone=b") == 2);
}

TEST_CASE("a conflict reports object, change and author", "[change_log]")
{
    // Guards against a lost update, and against a conflict that does not name
    // the other change.
    platform_fakes fakes;
    auto const first = fakes.operator_log();
    auto const second = fakes.operator_log();
    auto const late = second->prepare("c2", "bo", put_rule("r", "zone=b"));
    CHECK(commit_rule(*first, "c1", "r", "zone=a") == 1);
    auto const res = second->commit(late);
    REQUIRE(kernel::ok(res));
    auto const& conflict =
        std::get<config::change_conflict>(kernel::value(res));
    CHECK(conflict ==
          config::change_conflict{"rule/r", 0, {1, "c1", "author-c1"}});
    auto const error = config::to_error(conflict);
    CHECK(error.kind == kernel::error_kind::conflict);
    CHECK(error.message.find("rule/r was changed at version 1 by change c1 of "
                             "author-c1") == 0);
    CHECK(fakes.head() == "1");
}

TEST_CASE("a conflict with a deletion reports its author", "[change_log]")
{
    // Guards against a change that recreates what another operator deleted.
    platform_fakes fakes;
    auto const first = fakes.operator_log();
    CHECK(commit_rule(*first, "c1", "r", "zone=a") == 1);
    auto const second = fakes.operator_log();
    auto const late = second->prepare("c3", "bo", put_rule("r", "zone=b"));
    REQUIRE(kernel::ok(first->commit(first->prepare(
        "c2", "an", {config::delete_object{config::object_kind::rule, "r"}}))));
    auto const res = second->commit(late);
    REQUIRE(kernel::ok(res));
    CHECK(std::get<config::change_conflict>(kernel::value(res))
              .committed_change.id == "c2");
}

TEST_CASE("a lost answer is resolved while another operator changes the same "
          "selector",
          "[change_log]")
{
    // Guards against a committed change that is reported as a conflict because
    // a later change replaced its object, also when the first reads afterwards
    // are stale.
    auto const stale_reads = GENERATE(0U, 1U, 2U, 3U, 5U);
    platform_fakes fakes;
    auto const first = fakes.operator_log();
    auto const second = fakes.operator_log();
    fakes.table->push_fault(commit_fault::lost_after);
    // The second operator commits while the first one waits after the lost
    // answer.
    auto options = fakes.options();
    bool acted = false;
    options.sleep = [&](auto)
    {
        if (std::exchange(acted, true))
            return;
        REQUIRE(kernel::ok(second->catch_up()));
        CHECK(commit_rule(*second, "c2", "r", "zone=b") == 2);
        fakes.table->set_stale_reads(stale_reads, 1);
    };
    auto const interrupted = fakes.operator_log(options);
    CHECK(commit_rule(*interrupted, "c1", "r", "zone=a") == 1);
    CHECK(acted);
    CHECK(fakes.head() == "2");
    // Stale reads that are left over must not affect the check.
    fakes.table->set_stale_reads(0, 0);
    CHECK(rule_text(*first, "r") == "zone=b");
}

TEST_CASE("a submission without effect is retried", "[change_log]")
{
    // Guards against a change that is reported as committed but is not, and
    // against two commits when the first submission was only delayed.
    auto const fault = GENERATE(commit_fault::lost_before,
                                commit_fault::not_run, commit_fault::delayed);
    platform_fakes fakes;
    fakes.table->push_fault(fault);
    auto const log = fakes.operator_log();
    CHECK(commit_rule(*log, "c1", "r", "zone=a") == 1);
    CHECK(fakes.table->deliver_delayed() == 0);
    CHECK(fakes.head() == "1");
    CHECK(fakes.rows_with_prefix("config/log/") == 1);
}

TEST_CASE("a delayed submission that commits before its retry counts once",
          "[change_log]")
{
    // Guards against a second commit of the same change.
    platform_fakes fakes;
    fakes.table->push_fault(commit_fault::delayed);
    fakes.table->before_next_commit([] {});
    fakes.table->before_next_commit([&] { fakes.table->deliver_delayed(); });
    auto const log = fakes.operator_log();
    CHECK(commit_rule(*log, "c1", "r", "zone=a") == 1);
    CHECK(fakes.head() == "1");
}

TEST_CASE("an unavailable store is reported with the right run state",
          "[change_log]")
{
    // Guards against "not run" for a change that may still commit.
    platform_fakes fakes;
    auto options = fakes.options();
    options.max_rounds = 3;
    auto const log = fakes.operator_log(options);
    auto const change = log->prepare("c1", "an", put_rule("r", "zone=a"));
    fakes.table->set_unavailable(true);
    auto const refused = log->commit(change);
    REQUIRE_FALSE(kernel::ok(refused));
    CHECK(kernel::failure(refused).kind ==
          kernel::error_kind::store_unavailable);
    CHECK(kernel::failure(refused).run == kernel::run_state::not_run);

    fakes.table->set_unavailable(false);
    fakes.table->push_fault(commit_fault::lost_after);
    fakes.table->before_next_commit([] {});
    options.sleep = [&](auto) { fakes.table->set_unavailable(true); };
    auto const interrupted = fakes.operator_log(options);
    auto const unknown = interrupted->commit(change);
    REQUIRE_FALSE(kernel::ok(unknown));
    CHECK(kernel::failure(unknown).kind == kernel::error_kind::outcome_unknown);
    CHECK(kernel::failure(unknown).run == kernel::run_state::unknown);

    fakes.table->set_unavailable(false);
    auto const resolved = log->commit(change);
    REQUIRE(kernel::ok(resolved));
    CHECK(std::get<config::change_committed>(kernel::value(resolved)).version ==
          1);
}

TEST_CASE("a repeated change is not reported as not committed", "[change_log]")
{
    // Guards against "not run" for a change that an earlier call committed,
    // when the repetition reads stale answers and then loses the store.
    platform_fakes fakes;
    auto const first = fakes.operator_log();
    auto const change = first->prepare("c1", "an", put_rule("r", "zone=a"));
    REQUIRE(kernel::ok(first->commit(change)));
    auto options = fakes.options();
    options.max_rounds = 3;
    options.sleep = [&](auto) { fakes.table->set_unavailable(true); };
    config::change_log other(fakes.table, fakes.objects, options);
    fakes.table->set_stale_reads(2, 1);
    fakes.table->push_fault(commit_fault::not_run);
    auto const res = other.commit(change, true);
    REQUIRE_FALSE(kernel::ok(res));
    CHECK(kernel::failure(res).run == kernel::run_state::unknown);
}

TEST_CASE("a stale reader neither conflicts nor overwrites", "[change_log]")
{
    // Guards against a false conflict and against a log row that is written
    // twice.
    auto const age = GENERATE(1U, 2U, 3U);
    auto const count = GENERATE(1U, 2U, 3U, 4U, 7U);
    platform_fakes fakes;
    auto const first = fakes.operator_log();
    for (int i = 1; i <= 4; ++i)
        REQUIRE(commit_rule(*first, "c" + std::to_string(i), "r",
                            "zone=z" + std::to_string(i)) != 0);
    auto const change = first->prepare("c5", "an", put_rule("r", "zone=z5"));
    config::change_log fresh(fakes.table, fakes.objects, fakes.options());
    fakes.table->set_stale_reads(count, age);
    auto const res = fresh.commit(change);
    REQUIRE(kernel::ok(res));
    CHECK(std::get<config::change_committed>(kernel::value(res)).version == 5);
    CHECK(fakes.rows_with_prefix("config/log/") == 5);
    for (auto const& it : fakes.table->rows())
        if (it.first.starts_with("config/log/"))
            CHECK(it.second.version == 1);
}

TEST_CASE("of ten concurrent changes of an object exactly one commits",
          "[change_log]")
{
    // Guards against lost updates under real concurrency. The winner depends
    // on scheduling, the checks do not.
    platform_fakes fakes;
    constexpr std::size_t operators = 10;
    std::vector<std::unique_ptr<config::change_log>> logs;
    std::vector<config::change> shared;
    std::vector<config::change> own;
    logs.reserve(operators);
    shared.reserve(operators);
    own.reserve(operators);
    for (std::size_t i = 0; i < operators; ++i)
    {
        auto const text = std::to_string(i);
        logs.push_back(fakes.operator_log());
        shared.push_back(logs[i]->prepare("shared-" + text, "op-" + text,
                                          put_rule("r", "zone=z" + text)));
        own.push_back(logs[i]->prepare("own-" + text, "op-" + text,
                                       put_rule("r" + text, "zone=a")));
    }
    std::vector<kernel::result<config::commit_outcome>> outcomes(
        operators, config::commit_outcome{});
    std::vector<kernel::result<config::commit_outcome>> own_outcomes(outcomes);
    std::vector<std::thread> threads;
    threads.reserve(operators);
    for (std::size_t i = 0; i < operators; ++i)
        threads.emplace_back(
            [&, i]
            {
                outcomes[i] = logs[i]->commit(shared[i]);
                own_outcomes[i] = logs[i]->commit(own[i]);
            });
    for (auto& it : threads)
        it.join();
    std::vector<std::string> winners;
    for (std::size_t i = 0; i < operators; ++i)
    {
        REQUIRE(kernel::ok(outcomes[i]));
        REQUIRE(kernel::ok(own_outcomes[i]));
        CHECK(std::holds_alternative<config::change_committed>(
            kernel::value(own_outcomes[i])));
        if (std::holds_alternative<config::change_committed>(
                kernel::value(outcomes[i])))
            winners.push_back(shared[i].id);
    }
    REQUIRE(winners.size() == 1);
    for (auto const& it : outcomes)
        if (auto const* lost =
                std::get_if<config::change_conflict>(&kernel::value(it)))
            CHECK(lost->committed_change.id == winners[0]);
    CHECK(fakes.head() == std::to_string(operators + 1));
}

TEST_CASE("an invalid change is rejected before it is written", "[change_log]")
{
    // Guards against a log row that no process can apply.
    platform_fakes fakes;
    auto const log = fakes.operator_log();
    auto const res =
        log->commit(log->prepare("c1", "an", put_rule("r", "zone==a")));
    REQUIRE_FALSE(kernel::ok(res));
    CHECK(kernel::failure(res).kind == kernel::error_kind::invalid_request);
    auto unseen = log->prepare("c1", "an", put_rule("r", "zone=a"));
    unseen.seen.clear();
    CHECK_FALSE(kernel::ok(log->commit(unseen)));
    CHECK(fakes.table->rows().empty());
}

TEST_CASE("snapshots replace trimmed log rows", "[change_log]")
{
    // Guards against a process that cannot start once the log was trimmed, and
    // against a log that is trimmed without a snapshot.
    platform_fakes fakes;
    auto options = fakes.options();
    options.snapshot_interval = 4;
    options.retained_log_rows = 4;
    auto const log = fakes.operator_log(options);
    fakes.objects->set_unavailable(true);
    for (int i = 1; i <= 9; ++i)
        commit_rule(*log, "c" + std::to_string(i), "r", "zone=a");
    CHECK(fakes.rows_with_prefix("config/log/") == 9);
    fakes.objects->set_unavailable(false);
    for (int i = 10; i <= 17; ++i)
        commit_rule(*log, "c" + std::to_string(i), "r", "zone=a");
    CHECK(fakes.table->rows().at("config/snapshot").value == "16");
    CHECK_FALSE(fakes.table->rows().contains(config::log_key(12)));
    CHECK(fakes.table->rows().contains(config::log_key(13)));
    auto const fresh = fakes.operator_log();
    auto const expected = log->catch_up();
    auto const actual = fresh->catch_up();
    CHECK(kernel::value(actual)->version() == 17);
    CHECK(config::to_json(*kernel::value(actual)->data()) ==
          config::to_json(*kernel::value(expected)->data()));
}

TEST_CASE("the poller applies committed changes and reports the store state",
          "[change_log_poller]")
{
    // Guards against a router that does not catch up with the store, polls it
    // too often, or does not detect that it is down.
    platform_fakes fakes;
    auto const log = fakes.operator_log();
    auto const clock = std::make_shared<kernel::manual_clock>();
    auto const state = std::make_shared<config::config_state>();
    std::vector<bool> reports;
    config::change_log_poller_options options;
    options.on_store_state = [&](bool up) { reports.push_back(up); };
    config::change_log_poller poller(
        {fakes.table, fakes.objects, std::chrono::milliseconds(100)}, state,
        clock, std::make_shared<kernel::seeded_random_source>(7), options);
    poller.tick();
    CHECK(poller.store_up());
    commit_rule(*log, "c1", "r", "zone=a");
    auto const reads = fakes.table->reads();
    poller.tick();
    clock->advance(std::chrono::milliseconds(1499));
    poller.tick();
    CHECK(fakes.table->reads() == reads);
    clock->advance(std::chrono::milliseconds(1002));
    poller.tick();
    CHECK(state->current()->version() == 1);

    fakes.table->set_unavailable(true);
    for (int i = 0; i < 3; ++i)
    {
        clock->advance(std::chrono::milliseconds(2501));
        poller.tick();
    }
    CHECK_FALSE(poller.store_up());
    CHECK(state->current()->version() == 1);
    fakes.table->set_unavailable(false);
    clock->advance(std::chrono::milliseconds(2501));
    fakes.table->set_stale_reads(3, 1);
    poller.tick();
    CHECK(state->current()->version() == 1);
    CHECK(reports == std::vector<bool>{true, false, true});
}

namespace
{

/// A router that holds versions 1 and 2 while the table goes back to version 1.
struct restored_log
{
    restored_log()
    {
        fakes.table->name_eras();
        auto const log = fakes.operator_log();
        commit_rule(*log, "c1", "r", "zone=a");
        fakes.table->make_copy();
        commit_rule(*log, "c2", "r", "zone=b");
        poll(1);
        fakes.table->restore();
    }

    void poll(int times)
    {
        for (int n = 0; n < times; ++n)
        {
            poller.tick();
            clock->advance(std::chrono::milliseconds(2501));
        }
    }

    platform_fakes fakes;
    std::shared_ptr<kernel::manual_clock> clock =
        std::make_shared<kernel::manual_clock>();
    std::shared_ptr<config::config_state> state =
        std::make_shared<config::config_state>();
    config::change_log_poller poller{
        {fakes.table, fakes.objects, std::chrono::milliseconds(100)},
        state,
        clock,
        std::make_shared<kernel::seeded_random_source>(7),
        {}};
};

} // namespace

TEST_CASE("a change lost with a copy of the table is written again",
          "[change_log_poller]")
{
    // Guards against an accepted change that processes started after a restore
    // never learn of.
    restored_log it;
    REQUIRE(it.state->current()->version() == 2);
    it.poll(20);
    CHECK(it.state->current()->version() == 2);
    CHECK(rule_text(*it.fakes.operator_log(), "r") == "zone=b");
}

TEST_CASE("a version given out again reaches routers that held the lost one",
          "[change_log_poller]")
{
    // Guards against a router that keeps the content of a lost version, and
    // applies later changes to it, while the log has other content.
    restored_log it;
    auto const log = it.fakes.operator_log();
    commit_rule(*log, "c3", "s", "zone=c");
    it.poll(20);
    auto const& rules = it.state->compiled()->data()->rules;
    CHECK(rules.contains("s"));
}

TEST_CASE("the first change after a restore keeps those written back",
          "[change_log_poller]")
{
    restored_log it;
    auto options = it.fakes.options();
    // Routers write lost changes back while the command waits.
    options.sleep = [&](auto) { it.poll(1); };
    auto const log = it.fakes.operator_log(options);
    auto const version = commit_rule(*log, "c3", "s", "zone=c");
    it.poll(1);
    CHECK(version == config::base_version(2) + 1);
    CHECK(it.state->current()->version() == version);
    auto const& rules = it.state->compiled()->data()->rules;
    CHECK(rules.at("r")->selectors.endpoints == "zone=b");
    CHECK(rules.contains("s"));
    // A change that is repeated after the restore is not committed twice.
    CHECK(commit_rule(*log, "c2", "r", "zone=b") == 2);
}

namespace
{

/// A router whose configurations are recorded.
struct recorded_router
{
    explicit recorded_router(platform_fakes const& fakes, unsigned seed)
        : poller({fakes.table, fakes.objects, std::chrono::milliseconds(100)},
                 state, clock,
                 std::make_shared<kernel::seeded_random_source>(seed), {})
    {
        state->subscribe(
            [this](auto const&)
            {
                auto const& data = *state->compiled()->data();
                versions.push_back(data.version);
                contents[data.version] = config::to_json(data).dump();
            });
    }

    void poll()
    {
        clock->advance(std::chrono::milliseconds(2501));
        poller.tick();
    }

    std::shared_ptr<kernel::manual_clock> clock =
        std::make_shared<kernel::manual_clock>();
    std::shared_ptr<config::config_state> state =
        std::make_shared<config::config_state>();
    config::change_log_poller poller;
    std::vector<kernel::config_version> versions;
    std::map<kernel::config_version, std::string> contents;
};

} // namespace

// Guards against two contents of one version, versions that decrease, and
// routers that disagree with the log, over random restores, commits and polls.
TEST_CASE("a version has one content under random restores",
          "[change_log_poller]")
{
    for (unsigned seed = 1; seed <= 300; ++seed)
    {
        CAPTURE(seed);
        std::mt19937 random(seed);
        platform_fakes fakes;
        fakes.table->name_eras();
        fakes.table->make_copy();
        std::vector<std::unique_ptr<recorded_router>> routers;
        for (unsigned n = 0; n < 3; ++n)
            routers.push_back(
                std::make_unique<recorded_router>(fakes, seed * 10 + n));
        for (int n = 0; n < 60; ++n)
        {
            auto const what = random() % 10;
            if (what < 3)
                commit_rule(*fakes.operator_log(), "c" + std::to_string(n),
                            "r" + std::to_string(random() % 3),
                            "zone=z" + std::to_string(n));
            else if (what == 3)
                fakes.table->make_copy();
            else if (what == 4)
                fakes.table->restore();
            else
                routers[random() % routers.size()]->poll();
        }
        commit_rule(*fakes.operator_log(), "last", "r0", "zone=last");
        for (auto const& it : routers)
            it->poll();
        auto const log = fakes.operator_log();
        auto const res = log->catch_up();
        REQUIRE(kernel::ok(res));
        auto const last = config::to_json(*kernel::value(res)->data()).dump();
        std::map<kernel::config_version, std::string> contents;
        for (auto const& it : routers)
        {
            CHECK(std::is_sorted(it->versions.begin(), it->versions.end()));
            CHECK(config::to_json(*it->state->compiled()->data()).dump() ==
                  last);
            for (auto const& [version, text] : it->contents)
                CHECK(contents.emplace(version, text).first->second == text);
        }
    }
}

TEST_CASE("the poller reads a long log in pages and uses snapshots",
          "[change_log_poller]")
{
    // Guards against a restart that stops after the first page.
    platform_fakes fakes;
    auto const log = fakes.operator_log();
    constexpr int changes = 300;
    for (int i = 1; i <= changes; ++i)
        commit_rule(*log, "c" + std::to_string(i), "r", "zone=a");
    bool const trimmed = GENERATE(false, true);
    if (trimmed)
        for (int i = 1; i <= 100; ++i)
            fakes.table->erase(config::log_key(i));
    auto const state = std::make_shared<config::config_state>();
    config::change_log_poller poller(
        {fakes.table, fakes.objects, std::chrono::milliseconds(100)}, state,
        std::make_shared<kernel::manual_clock>(),
        std::make_shared<kernel::seeded_random_source>(7), {});
    poller.tick();
    CHECK(state->current()->version() == changes);
}

TEST_CASE("the poller reports when it was last up to date with the store",
          "[change_log_poller]")
{
    // Guards against a router that counts a failed read as a confirmation of
    // its configuration.
    platform_fakes fakes;
    auto const clock = std::make_shared<kernel::manual_clock>();
    config::change_log_poller poller(
        {fakes.table, fakes.objects, std::chrono::milliseconds(100)},
        std::make_shared<config::config_state>(), clock,
        std::make_shared<kernel::seeded_random_source>(7), {});
    CHECK_FALSE(poller.last_up_to_date());
    poller.tick();
    auto const first = clock->now();
    CHECK(poller.last_up_to_date() == first);

    fakes.table->set_unavailable(true);
    clock->advance(std::chrono::milliseconds(2501));
    poller.tick();
    CHECK(poller.last_up_to_date() == first);

    fakes.table->set_unavailable(false);
    clock->advance(std::chrono::milliseconds(2501));
    poller.tick();
    CHECK(poller.last_up_to_date() == clock->now());
}
