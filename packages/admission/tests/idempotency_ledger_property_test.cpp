#include "admission/idempotency_ledger.hpp"

#include "kernel/manual_clock.hpp"
#include "kernel/seeded_random_source.hpp"
#include "kernel/tests/support/property_check.hpp"
#include "storage/tests/support/fake_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/state.h>

#include <deque>

namespace endiveward::admission
{

namespace
{

using storage::tests::fake_table;
using fault = storage::tests::commit_fault;
using std::chrono::seconds;

/// Ledger bugs that the property must detect. Each is injected at the table's
/// interface, where it has the same effect as in the ledger.
enum class planted_fault : std::uint8_t
{
    none,
    /// Claims are inserted without the condition that the row is absent.
    unconditional_claim,
    /// A lost response to a commit is taken for success, so that a claim is
    /// granted although its row may not have been written.
    lost_response_is_success,
    /// A claim is released by deleting its row.
    release_deletes
};

class faulty_table : public storage::i_table
{
public:
    faulty_table(storage::i_table& table, planted_fault kind)
        : table_(table)
        , kind_(kind)
    {
    }

    void commit(storage::table_transaction transaction,
                std::chrono::milliseconds timeout,
                handler<storage::transaction_outcome> on_done) override
    {
        if (kind_ == planted_fault::unconditional_claim)
            transaction.conditions.clear();
        if (kind_ == planted_fault::release_deletes)
            delete_released(transaction);
        if (kind_ == planted_fault::lost_response_is_success)
            on_done = [on_done](auto const& res)
            {
                if (kernel::ok(res) ||
                    kernel::failure(res).run == kernel::run_state::not_run)
                    on_done(res);
                else
                    on_done(storage::transaction_outcome{true, {}});
            };
        table_.commit(std::move(transaction), timeout, std::move(on_done));
    }

    void read(std::string key, std::chrono::milliseconds timeout,
              handler<std::optional<storage::row>> on_done) override
    {
        table_.read(std::move(key), timeout, std::move(on_done));
    }

    void scan(std::string prefix, std::string after, std::size_t limit,
              std::chrono::milliseconds timeout,
              handler<std::vector<storage::row>> on_done) override
    {
        table_.scan(std::move(prefix), std::move(after), limit, timeout,
                    std::move(on_done));
    }

    std::uint64_t era() const override { return table_.era(); }

private:
    static void delete_released(storage::table_transaction& transaction)
    {
        for (auto& it : transaction.writes)
        {
            auto const record = decode_claim_record(it.value.value_or(""));
            if (record && record->state == claim_state::released)
                it.value = std::nullopt;
        }
    }

    storage::i_table& table_;
    planted_fault kind_;
};

constexpr std::size_t agent_count = 3;
constexpr std::size_t key_count = 2;

/// Counts what the generated cases have exercised, so that the property cannot
/// pass vacuously.
struct coverage
{
    std::size_t runs = 0;
    std::size_t replays = 0;
};

coverage& covered()
{
    static coverage counts;
    return counts;
}

/// Checks that each key runs at most once and that replayed answers are its
/// own.
struct oracle
{
    std::array<int, key_count> runs{};

    void on_run(std::size_t key)
    {
        ++runs.at(key);
        ++covered().runs;
        RC_ASSERT(runs.at(key) <= 1);
    }
    void on_replay(std::size_t key, stored_answer const& answer) const
    {
        ++covered().replays;
        RC_ASSERT(runs.at(key) == 1);
        RC_ASSERT(answer.body == "answer " + std::to_string(key));
    }
};

struct agent_process
{
    agent_process(kernel::i_clock const& clock, storage::i_table& table,
                  std::uint64_t seed)
        : random(seed)
        , ledger(clock, random, table,
                 [this](std::function<void()> task)
                 { tasks.push_back(std::move(task)); },
                 {kernel::endpoint_id("e"), seconds(1), 1024, 100})
    {
    }

    kernel::seeded_random_source random;
    std::deque<std::function<void()>> tasks;
    idempotency_ledger ledger;
    /// Claims granted to calls that have not started.
    std::vector<std::pair<std::size_t, claim>> granted;
    /// Claims of running calls.
    std::vector<std::pair<std::size_t, claim>> running;
};

struct cluster
{
    explicit cluster(planted_fault kind)
        : faulty(table, kind)
    {
        for (std::size_t n = 0; n < agent_count; ++n)
            restart(n);
    }

    void restart(std::size_t agent)
    {
        agents.at(agent) =
            std::make_unique<agent_process>(clock, faulty, ++next_seed);
    }

    void begin(std::size_t agent, std::size_t key)
    {
        auto* const process = agents.at(agent).get();
        process->ledger.begin(
            kernel::workspace_id("w"), std::to_string(key), {0, key},
            clock.now() + seconds(5),
            [this, process, key](kernel::result<claim_decision> const& res)
            {
                if (!kernel::ok(res))
                    return;
                auto const& made = kernel::value(res);
                if (auto const* answer = std::get_if<stored_answer>(&made))
                    run_oracle.on_replay(key, *answer);
                else
                    process->granted.emplace_back(key, std::get<claim>(made));
            });
    }

    void run_tasks(std::size_t agent)
    {
        auto& tasks = agents.at(agent)->tasks;
        while (!tasks.empty())
        {
            auto const task = std::move(tasks.front());
            tasks.pop_front();
            task();
        }
    }

    void start_granted(std::size_t agent)
    {
        auto& process = *agents.at(agent);
        for (auto const& it : process.granted)
        {
            run_oracle.on_run(it.first);
            process.running.push_back(it);
        }
        process.granted.clear();
    }

    void release_granted(std::size_t agent)
    {
        auto& process = *agents.at(agent);
        auto const granted = std::move(process.granted);
        process.granted.clear();
        for (auto const& it : granted)
            process.ledger.release(it.second);
    }

    void complete_running(std::size_t agent)
    {
        auto& process = *agents.at(agent);
        for (auto const& [key, held] : process.running)
        {
            stored_answer const answer{200, "text/plain",
                                       "answer " + std::to_string(key)};
            process.ledger.complete(held, &answer);
        }
        process.running.clear();
    }

    kernel::manual_clock clock;
    fake_table table;
    faulty_table faulty;
    oracle run_oracle;
    std::uint64_t next_seed = 0;
    std::array<std::unique_ptr<agent_process>, agent_count> agents;
};

/// The oracle in the cluster checks every step, so no model is needed.
struct no_model
{
};

using command = rc::state::Command<no_model, cluster>;

/// Command that runs a step of one agent.
template <typename Step>
struct agent_step : command
{
    std::size_t agent = *rc::gen::inRange<std::size_t>(0, agent_count);

    void run(no_model const&, cluster& sut) const override
    {
        Step::run(sut, agent);
    }
    void show(std::ostream& os) const override
    {
        os << Step::name << "(" << agent << ")";
    }
};

struct begin_step : command
{
    std::size_t agent = *rc::gen::inRange<std::size_t>(0, agent_count);
    std::size_t key = *rc::gen::inRange<std::size_t>(0, key_count);

    void run(no_model const&, cluster& sut) const override
    {
        sut.begin(agent, key);
    }
    void show(std::ostream& os) const override
    {
        os << "begin(" << agent << ", " << key << ")";
    }
};

struct fault_step : command
{
    fault kind = *rc::gen::element(fault::not_run, fault::lost_after,
                                   fault::lost_before, fault::delayed);

    void run(no_model const&, cluster& sut) const override
    {
        sut.table.push_fault(kind);
    }
    void show(std::ostream& os) const override
    {
        os << "fault(" << static_cast<int>(kind) << ")";
    }
};

struct deliver_delayed_step : command
{
    void run(no_model const&, cluster& sut) const override
    {
        sut.table.deliver_delayed();
    }
    void show(std::ostream& os) const override { os << "deliver_delayed"; }
};

struct advance_clock_step : command
{
    void run(no_model const&, cluster& sut) const override
    {
        sut.clock.advance(seconds(3));
    }
    void show(std::ostream& os) const override { os << "advance"; }
};

struct tasks_step
{
    static constexpr char const* name = "run_tasks";
    static void run(cluster& sut, std::size_t agent) { sut.run_tasks(agent); }
};
struct start_step
{
    static constexpr char const* name = "start_granted";
    static void run(cluster& sut, std::size_t agent)
    {
        sut.start_granted(agent);
    }
};
struct release_step
{
    static constexpr char const* name = "release_granted";
    static void run(cluster& sut, std::size_t agent)
    {
        sut.release_granted(agent);
    }
};
struct complete_step
{
    static constexpr char const* name = "complete_running";
    static void run(cluster& sut, std::size_t agent)
    {
        sut.complete_running(agent);
    }
};
struct restart_step
{
    static constexpr char const* name = "restart";
    static void run(cluster& sut, std::size_t agent) { sut.restart(agent); }
};
struct tick_step
{
    static constexpr char const* name = "tick";
    static void run(cluster& sut, std::size_t agent)
    {
        sut.agents.at(agent)->ledger.tick();
    }
};

void check_at_most_once(planted_fault kind)
{
    cluster sut(kind);
    rc::state::check(
        no_model{}, sut,
        rc::state::gen::execOneOfWithArgs<
            begin_step, begin_step, begin_step, agent_step<tasks_step>,
            agent_step<tasks_step>, agent_step<tasks_step>,
            agent_step<start_step>, agent_step<start_step>,
            agent_step<release_step>, agent_step<complete_step>,
            agent_step<restart_step>, agent_step<tick_step>, fault_step,
            deliver_delayed_step, advance_clock_step>());
}

void check_property(planted_fault kind, int cases)
{
    kernel::tests::check_property(
        [kind] { check_at_most_once(kind); }, {cases, 100},
        kind == planted_fault::none
            ? kernel::tests::expected_verdict::holds
            : kernel::tests::expected_verdict::counterexample);
}

} // namespace

// Guards against running a keyed call twice in any sequence of attempts,
// restarts, releases and lost responses.
TEST_CASE("a keyed call runs at most once under random failures")
{
    covered() = {};
    check_property(planted_fault::none, 20'000);
    CHECK(covered().runs > 1000);
    CHECK(covered().replays > 100);
}

// Guards against a property that cannot detect faults.
TEST_CASE("planted faults of the idempotency ledger are detected")
{
    check_property(planted_fault::unconditional_claim, 3000);
    check_property(planted_fault::lost_response_is_success, 3000);
    check_property(planted_fault::release_deletes, 20'000);
}

} // namespace endiveward::admission
