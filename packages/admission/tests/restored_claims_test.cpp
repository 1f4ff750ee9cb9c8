#include "admission/idempotency_ledger.hpp"

#include "kernel/manual_clock.hpp"
#include "kernel/seeded_random_source.hpp"
#include "storage/tests/support/fake_table.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace endiveward::admission
{

namespace
{

using fault = storage::tests::commit_fault;
using std::chrono::seconds;

/// An agent's ledger; several share one table.
class agent_process
{
public:
    agent_process(kernel::i_clock const& clock, storage::i_table& table,
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

    void run()
    {
        while (!tasks_.empty())
        {
            auto const task = std::move(tasks_.front());
            tasks_.pop_front();
            task();
        }
    }
    void tick()
    {
        ledger.tick();
        run();
    }

    kernel::result<claim_decision> begin()
    {
        using decision = std::optional<kernel::result<claim_decision>>;
        auto const res = std::make_shared<decision>();
        ledger.begin(kernel::workspace_id("w"), "k", {0, 1},
                     clock_.now() + seconds(10),
                     [res](auto const& made) { *res = made; });
        run();
        REQUIRE(res->has_value());
        return **res;
    }

    /// The claim; none if the call may not run here.
    std::optional<claim> try_claim()
    {
        auto const res = begin();
        if (!kernel::ok(res))
            return std::nullopt;
        auto const* held = std::get_if<claim>(&kernel::value(res));
        return held ? std::optional(*held) : std::nullopt;
    }

    std::optional<stored_answer> replay()
    {
        auto const res = begin();
        if (!kernel::ok(res))
            return std::nullopt;
        auto const* found = std::get_if<stored_answer>(&kernel::value(res));
        return found ? std::optional(*found) : std::nullopt;
    }

    kernel::error refusal()
    {
        auto const res = begin();
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

class restored_claims_fixture
{
public:
    restored_claims_fixture()
    {
        table.name_eras();
        first->tick();
        second->tick();
        table.make_copy();
    }

    void run_for(seconds duration)
    {
        for (seconds n{0}; n < duration; ++n)
        {
            clock.advance(seconds(1));
            if (first)
                first->tick();
            second->tick();
        }
    }

    // Longer than the time until a restore is noticed and the wait after it.
    static constexpr seconds long_enough{60};

    kernel::manual_clock clock;
    storage::tests::fake_table table;
    std::unique_ptr<agent_process> first =
        std::make_unique<agent_process>(clock, table, 1);
    std::unique_ptr<agent_process> second =
        std::make_unique<agent_process>(clock, table, 2);
    stored_answer const answer{200, "text/plain", "admitted"};
};

} // namespace

// Guards against a second run of a call whose claim and answer are not in the
// copy from which the table came back.
TEST_CASE_METHOD(restored_claims_fixture,
                 "a lost claim is written again by its owner")
{
    auto const held = first->try_claim();
    REQUIRE(held);
    first->ledger.complete(*held, &answer);
    first->run();
    table.restore();
    run_for(seconds(1));
    CHECK_FALSE(second->try_claim());
    run_for(long_enough);
    CHECK(second->replay() == answer);
}

// Guards against a claim that is written again only once, although the next
// copy lacks it as well.
TEST_CASE_METHOD(restored_claims_fixture,
                 "a claim lost in several restores is written again each time")
{
    auto const held = first->try_claim();
    REQUIRE(held);
    first->ledger.complete(*held, &answer);
    first->run();
    for (int n = 0; n < 4; ++n)
    {
        table.restore();
        run_for(seconds(30));
    }
    run_for(long_enough);
    CHECK(second->replay() == answer);
}

// Guards against a second run while the first one goes on, and against an
// outcome that is written with a version of the old era.
TEST_CASE_METHOD(restored_claims_fixture,
                 "a lost claim of a running call is written again")
{
    auto const held = first->try_claim();
    REQUIRE(held);
    table.restore();
    run_for(long_enough);
    CHECK(second->refusal().kind == kernel::error_kind::outcome_unknown);
    first->ledger.complete(*held, &answer);
    run_for(seconds(2));
    CHECK(second->replay() == answer);
}

// Guards against a call that completes between the restore and the time at
// which its agent notices it.
TEST_CASE_METHOD(restored_claims_fixture,
                 "an outcome recorded during a restore is kept")
{
    auto const held = first->try_claim();
    REQUIRE(held);
    table.restore();
    first->ledger.complete(*held, &answer);
    first->run();
    run_for(long_enough);
    CHECK(second->replay() == answer);
}

// Guards against a claim in the new era before the owners of lost claims had
// time to write them again, and against one that is refused for good.
TEST_CASE_METHOD(restored_claims_fixture,
                 "keyed calls are refused as not run for a time after a "
                 "restore")
{
    table.restore();
    run_for(seconds(32));
    auto const refused = second->refusal();
    CHECK(refused.kind == kernel::error_kind::store_unavailable);
    CHECK(refused.run == kernel::run_state::not_run);
    CHECK(refused.retry_after);
    run_for(long_enough);
    CHECK(second->try_claim());
}

// Guards against a process that waits again although the era is known to be
// old enough.
TEST_CASE_METHOD(restored_claims_fixture,
                 "a process started long after a restore claims at once")
{
    table.restore();
    run_for(long_enough);
    agent_process restarted(clock, table, 3);
    restarted.tick();
    restarted.tick();
    CHECK(restarted.try_claim());
}

// Guards against a claim that is granted although its row is written in an era
// whose lost claims are not written again yet.
TEST_CASE_METHOD(restored_claims_fixture,
                 "a claim that crosses a restore is not granted")
{
    auto const held = first->try_claim();
    REQUIRE(held);
    first->ledger.complete(*held, &answer);
    first->run();
    table.before_next_commit([this] { table.restore(); });
    CHECK_FALSE(second->try_claim());
    run_for(long_enough);
    CHECK(second->replay() == answer);
}

// Guards against a late release, of a claim from the old era, that matches the
// row of a running call and lets it run again.
TEST_CASE_METHOD(restored_claims_fixture,
                 "a release of the old era does not free a newer claim")
{
    auto const held = first->try_claim();
    REQUIRE(held);
    table.push_fault(fault::lost_before);
    first->ledger.release(*held);
    first->run();
    table.restore();
    auto const owner = std::move(first);
    run_for(long_enough);
    REQUIRE(second->try_claim());
    for (int n = 0; n < 5; ++n)
    {
        clock.advance(seconds(1));
        owner->tick();
    }
    agent_process third(clock, table, 3);
    third.tick();
    third.tick();
    CHECK_FALSE(third.try_claim());
}

// Guards against a second run of a call whose claim is lost together with the
// agent that ran it.
TEST_CASE_METHOD(restored_claims_fixture,
                 "a claim lost with both copy and owner is not granted again")
{
    auto const held = first->try_claim();
    REQUIRE(held);
    first->ledger.complete(*held, &answer);
    first->run();
    first.reset();
    table.restore();
    run_for(long_enough);
    CHECK_FALSE(second->try_claim());
}

} // namespace endiveward::admission
