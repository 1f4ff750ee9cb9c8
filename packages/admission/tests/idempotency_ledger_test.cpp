#include "admission/idempotency_ledger.hpp"

#include "kernel/manual_clock.hpp"
#include "kernel/seeded_random_source.hpp"
#include "storage/tests/support/fake_table.hpp"

#include <catch2/catch.hpp>

#include <deque>

namespace endiveward::admission
{

namespace
{

using fault = storage::tests::commit_fault;
using decision = std::optional<kernel::result<claim_decision>>;
using std::chrono::seconds;

/// An agent's ledger with its own state in memory; several share one table.
class agent_under_test
{
public:
    agent_under_test(kernel::i_clock const& clock, storage::i_table& table,
                     std::uint64_t seed)
        : clock_(clock)
        , random_(seed)
        , ledger(clock, random_, table,
                 [this](std::function<void()> task)
                 { tasks_.push_back(std::move(task)); },
                 {kernel::endpoint_id("e" + std::to_string(seed)), seconds(1),
                  16, 100})
    {
    }

    /// Begins an attempt; the result is set once the ledger has decided.
    std::shared_ptr<decision> start(std::string const& key,
                                    std::uint64_t request = 1)
    {
        auto res = std::make_shared<decision>();
        ledger.begin(kernel::workspace_id("w"), key, {0, request},
                     clock_.now() + seconds(10),
                     [res](auto const& made) { *res = made; });
        return res;
    }

    void run()
    {
        while (!tasks_.empty())
        {
            auto const task = std::move(tasks_.front());
            tasks_.pop_front();
            task();
        }
    }

    kernel::result<claim_decision> begin(std::string const& key,
                                         std::uint64_t request = 1)
    {
        auto const res = start(key, request);
        run();
        REQUIRE(res->has_value());
        return **res;
    }

    claim granted(std::string const& key)
    {
        auto const res = begin(key);
        REQUIRE(kernel::ok(res));
        REQUIRE(std::holds_alternative<claim>(kernel::value(res)));
        return std::get<claim>(kernel::value(res));
    }

    stored_answer replayed(std::string const& key)
    {
        auto const res = begin(key);
        REQUIRE(kernel::ok(res));
        REQUIRE(std::holds_alternative<stored_answer>(kernel::value(res)));
        return std::get<stored_answer>(kernel::value(res));
    }

    kernel::error refused(std::string const& key, std::uint64_t request = 1)
    {
        auto const res = begin(key, request);
        REQUIRE_FALSE(kernel::ok(res));
        return kernel::failure(res);
    }

private:
    kernel::i_clock const& clock_;
    kernel::seeded_random_source random_;
    std::deque<std::function<void()>> tasks_;

public:
    idempotency_ledger ledger;
};

class ledger_fixture
{
public:
    kernel::manual_clock clock;
    storage::tests::fake_table table;
    agent_under_test first{clock, table, 1};
    agent_under_test second{clock, table, 2};
    stored_answer const answer{200, "text/plain", "admitted"};
};

} // namespace

// Guards against running a keyed call twice when the caller's retry reaches
// another agent, or the same agent after a restart.
TEST_CASE_METHOD(ledger_fixture, "a repeated key gets the first answer")
{
    auto const held = first.granted("k");
    first.ledger.complete(held, &answer);
    CHECK(first.replayed("k") == answer);
    CHECK(second.replayed("k") == answer);
    agent_under_test restarted(clock, table, 3);
    CHECK(restarted.replayed("k") == answer);
}

// Guards against a second run after an agent crashed between the start of the
// call and the recording of its outcome.
TEST_CASE_METHOD(ledger_fixture,
                 "a key claimed by another process has an unknown outcome")
{
    first.granted("k");
    auto const err = second.refused("k");
    CHECK(err.kind == kernel::error_kind::outcome_unknown);
    CHECK(err.run == kernel::run_state::unknown);
    agent_under_test restarted(clock, table, 3);
    CHECK(restarted.refused("k").run == kernel::run_state::unknown);
}

// Guards against reporting an unknown outcome after the answer was recorded.
TEST_CASE_METHOD(ledger_fixture,
                 "an unknown outcome is replaced when the answer is recorded")
{
    auto const held = first.granted("k");
    CHECK(second.refused("k").run == kernel::run_state::unknown);
    first.ledger.complete(held, &answer);
    first.run();
    CHECK(second.replayed("k") == answer);
}

// Guards against losing the claim when the table's response is lost.
TEST_CASE_METHOD(
    ledger_fixture,
    "a claim whose write response was lost is recognized by its attempt")
{
    auto const kind = GENERATE(fault::lost_after, fault::lost_before);
    table.push_fault(kind);
    first.granted("k");
    CHECK(second.refused("k").run == kernel::run_state::unknown);
}

// Guards against granting a claim twice when its insert is delayed.
TEST_CASE_METHOD(ledger_fixture, "a delayed claim is granted once")
{
    table.push_fault(fault::delayed);
    first.granted("k");
    table.deliver_delayed();
    CHECK(second.refused("k").run == kernel::run_state::unknown);
}

// Guards against running a keyed call without a claim row.
TEST_CASE_METHOD(ledger_fixture, "without the table a keyed call is not run")
{
    table.set_unavailable(true);
    auto const err = first.refused("k");
    CHECK(err.kind == kernel::error_kind::store_unavailable);
    CHECK(err.run == kernel::run_state::not_run);
    CHECK(err.retry_after.has_value());
    table.set_unavailable(false);
    first.granted("k");
}

// Guards against a key that stays claimed by an attempt that never started.
TEST_CASE_METHOD(ledger_fixture,
                 "a released claim can be acquired by any agent")
{
    first.ledger.release(first.granted("k"));
    first.run();
    second.granted("k");
    CHECK(first.refused("k").run == kernel::run_state::unknown);
}

// Guards against removing a newer claim by a delayed repetition of a release.
TEST_CASE_METHOD(ledger_fixture,
                 "a repeated release does not free a newer attempt's claim")
{
    auto const held = first.granted("k");
    table.push_fault(fault::lost_after);
    first.ledger.release(held);
    first.run();
    second.granted("k");
    first.ledger.tick();
    first.run();
    agent_under_test third(clock, table, 3);
    CHECK(third.refused("k").run == kernel::run_state::unknown);
}

// Guards against a key that stays claimed until its retention period ends,
// because the insert took effect although its response was lost and the attempt
// was refused.
TEST_CASE_METHOD(ledger_fixture,
                 "an agent may take over the row of its own abandoned attempt")
{
    table.push_fault(fault::delayed);
    table.push_fault(fault::not_run);
    CHECK(first.refused("k").run == kernel::run_state::not_run);
    table.deliver_delayed();
    CHECK(second.refused("k").run == kernel::run_state::unknown);
    first.granted("k");
}

// Guards against replaying the answer of a different request.
TEST_CASE_METHOD(ledger_fixture, "a key reused for another request is refused")
{
    auto const held = first.granted("k");
    CHECK(first.refused("k", 2).kind == kernel::error_kind::key_reused);
    CHECK(second.refused("k", 2).kind == kernel::error_kind::key_reused);
    first.ledger.complete(held, &answer);
    CHECK(first.refused("k", 2).kind == kernel::error_kind::key_reused);
}

// Guards against a second run when a retry arrives while the first attempt is
// running.
TEST_CASE_METHOD(ledger_fixture, "a retry during the run waits for the answer")
{
    auto const held = first.granted("k");
    auto const retry = first.start("k");
    first.run();
    CHECK_FALSE(retry->has_value());
    first.ledger.complete(held, &answer);
    first.run();
    REQUIRE(retry->has_value());
    CHECK(std::get<stored_answer>(kernel::value(**retry)) == answer);
}

// Guards against losing an answer because the table was unavailable at the end
// of the call.
TEST_CASE_METHOD(ledger_fixture,
                 "an answer is recorded once the table is available")
{
    auto const held = first.granted("k");
    table.set_unavailable(true);
    first.ledger.complete(held, &answer);
    first.run();
    table.set_unavailable(false);
    first.ledger.tick();
    first.run();
    CHECK(second.replayed("k") == answer);
}

// Guards against a late retry of a write that changes the row of a newer
// attempt, after the row of this attempt has been deleted.
TEST_CASE_METHOD(ledger_fixture, "writes are not retried indefinitely")
{
    auto const held = first.granted("k");
    table.set_unavailable(true);
    first.ledger.release(held);
    first.run();
    table.set_unavailable(false);
    clock.advance(std::chrono::hours(25));
    table.erase("claims/w/k");
    second.granted("k");
    first.ledger.tick();
    first.run();
    agent_under_test third(clock, table, 3);
    CHECK(third.refused("k").run == kernel::run_state::unknown);
}

// Guards against replaying an answer truncated to the size limit.
TEST_CASE_METHOD(ledger_fixture,
                 "a call whose answer was not stored is reported as run")
{
    stored_answer const large{200, "text/plain", std::string(100, 'x')};
    first.ledger.complete(first.granted("k"), &large);
    CHECK(first.refused("k").run == kernel::run_state::ran);
    CHECK(second.refused("k").run == kernel::run_state::ran);
}

// Guards against one transaction per call, a load that the table cannot serve.
TEST_CASE_METHOD(ledger_fixture,
                 "claims that arrive during a transaction share the next one")
{
    table.hold_answers();
    std::vector<std::shared_ptr<decision>> attempts;
    constexpr int count = 50;
    attempts.reserve(count);
    for (int n = 0; n < count; ++n)
        attempts.push_back(first.start("k" + std::to_string(n)));
    table.release_answers();
    first.run();
    for (auto const& it : attempts)
    {
        REQUIRE(it->has_value());
        CHECK(kernel::ok(**it));
    }
    CHECK(table.commits() == 2);
}

// Guards against one used key that makes its whole batch fail.
TEST_CASE_METHOD(ledger_fixture,
                 "a used key does not affect other claims of its transaction")
{
    second.granted("used");
    table.hold_answers();
    auto const blocker = first.start("a");
    auto const used = first.start("used");
    auto const fresh = first.start("b");
    table.release_answers();
    first.run();
    CHECK(kernel::ok(**blocker));
    CHECK_FALSE(kernel::ok(**used));
    CHECK(kernel::ok(**fresh));
}

} // namespace endiveward::admission
