#include "admission/idempotency_ledger.hpp"
#include "admission/table_lease.hpp"

#include "admission/tests/support/table_without_eras.hpp"
#include "kernel/manual_clock.hpp"
#include "kernel/seeded_random_source.hpp"
#include "kernel/tests/support/property_check.hpp"
#include "storage/tests/support/fake_table.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// Random histories in which the table comes back from copies.

namespace endiveward::admission
{

namespace
{

using fault = storage::tests::commit_fault;
using kernel::tests::expected_verdict;
using std::chrono::seconds;

constexpr std::size_t process_count = 3;

struct step
{
    std::size_t kind;
    std::size_t process;
    std::size_t argument;
};

std::vector<step> random_history(std::size_t kinds)
{
    std::vector<step> res;
    for (auto const n : *rc::gen::container<std::vector<std::size_t>>(
             rc::gen::inRange<std::size_t>(0, kinds * process_count * 16)))
        res.push_back(
            {n % kinds, n / kinds % process_count, n / kinds / process_count});
    return res;
}

/// Counts that keep a property from passing without having tried anything.
struct coverage
{
    std::size_t acquired = 0;
    std::size_t acquired_after_restore = 0;
};

coverage& covered()
{
    static coverage res;
    return res;
}

/// Processes that compete for a lease.
class lease_cluster
{
public:
    explicit lease_cluster(bool hide_eras)
        : eras_hidden_(table_)
        , used_(hide_eras ? static_cast<storage::i_table&>(eras_hidden_)
                          : table_)
    {
        table_.name_eras();
        for (std::size_t n = 0; n < process_count; ++n)
            restart(n);
    }

    void run(step const& what)
    {
        auto& lease = *leases_.at(what.process);
        switch (what.kind)
        {
        case 0:
        case 1:
        case 2:
            lease.tick();
            break;
        case 3:
        case 4:
            clock_.advance(seconds(1 + what.argument / 2));
            break;
        case 5:
            lease.release();
            break;
        case 6:
            table_.make_copy();
            break;
        case 7:
            table_.restore();
            ++restores_;
            break;
        case 8:
            table_.push_fault(std::array{fault::not_run, fault::lost_before,
                                         fault::lost_after,
                                         fault::delayed}[what.argument % 4]);
            break;
        case 9:
            table_.deliver_delayed();
            break;
        default:
            restart(what.process);
        }
        check();
    }
    static constexpr std::size_t step_kinds = 11;

private:
    void restart(std::size_t process)
    {
        leases_.at(process) = std::make_unique<table_lease>(
            clock_, used_, [](std::function<void()> const& task) { task(); },
            table_lease_options{"leases/e", std::to_string(++last_holder_)});
        holders_.at(process) = last_holder_;
    }

    void check()
    {
        std::size_t held = 0;
        for (std::size_t n = 0; n < process_count; ++n)
        {
            auto const number = leases_.at(n)->fencing_number();
            if (!number)
                continue;
            ++held;
            auto const it = owners_.find(*number);
            if (it != owners_.end())
            {
                RC_ASSERT(it->second == holders_.at(n));
                continue;
            }
            auto const highest = owners_.empty() ? 0 : owners_.rbegin()->first;
            RC_ASSERT(highest < *number);
            owners_[*number] = holders_.at(n);
            ++covered().acquired;
            covered().acquired_after_restore += restores_ > 0 ? 1 : 0;
        }
        RC_ASSERT(held <= 1);
    }

    kernel::manual_clock clock_;
    storage::tests::fake_table table_;
    tests::table_without_eras eras_hidden_;
    storage::i_table& used_;
    std::array<std::unique_ptr<table_lease>, process_count> leases_;
    std::array<std::size_t, process_count> holders_{};
    std::size_t last_holder_ = 0;
    std::size_t restores_ = 0;
    /// Holders by fencing number.
    std::map<std::uint64_t, std::size_t> owners_;
};

/// Agents that claim the same calls. None ends, the copies are at most half a
/// minute old, and no request to the table arrives later than its timeout.
class claim_cluster
{
public:
    explicit claim_cluster(bool hide_eras)
        : eras_hidden_(table_)
        , used_(hide_eras ? static_cast<storage::i_table&>(eras_hidden_)
                          : table_)
    {
        table_.name_eras();
        for (std::size_t n = 0; n < process_count; ++n)
            agents_.at(n) = std::make_unique<agent>(clock_, used_, n + 1);
    }

    void run(step const& what)
    {
        auto& at = *agents_.at(what.process);
        switch (what.kind)
        {
        case 0:
        case 1:
        case 2:
            begin(at, what.argument % key_count);
            break;
        case 3:
        case 4:
            at.run_tasks();
            break;
        case 5:
        case 6:
            start_granted(at);
            break;
        case 7:
            release_granted(at);
            break;
        case 8:
            complete_running(at);
            break;
        case 9:
        case 10:
            pass(seconds(1 + 2 * what.argument));
            break;
        case 11:
            table_.make_copy();
            copied_at_ = clock_.now();
            break;
        case 12:
            restore();
            break;
        default:
            table_.push_fault(std::array{fault::not_run, fault::lost_before,
                                         fault::lost_after}[what.argument % 3]);
        }
    }
    static constexpr std::size_t step_kinds = 14;

private:
    static constexpr std::size_t key_count = 2;

    struct agent
    {
        agent(kernel::i_clock const& clock, storage::i_table& table,
              std::uint64_t seed)
            : random(seed)
            , ledger(clock, random, table,
                     [this](std::function<void()> task)
                     { tasks.push_back(std::move(task)); },
                     {kernel::endpoint_id("e"), seconds(1), 1024, 100})
        {
        }

        void run_tasks()
        {
            while (!tasks.empty())
            {
                auto const task = std::move(tasks.front());
                tasks.pop_front();
                task();
            }
        }

        kernel::seeded_random_source random;
        std::deque<std::function<void()>> tasks;
        idempotency_ledger ledger;
        std::vector<std::pair<std::size_t, claim>> granted;
        std::vector<std::pair<std::size_t, claim>> running;
    };

    void begin(agent& at, std::size_t key)
    {
        at.ledger.begin(kernel::workspace_id("w"), std::to_string(key),
                        {0, key}, clock_.now() + seconds(5),
                        [&at, key](kernel::result<claim_decision> const& res)
                        {
                            if (!kernel::ok(res))
                                return;
                            if (auto const* held =
                                    std::get_if<claim>(&kernel::value(res)))
                                at.granted.emplace_back(key, *held);
                        });
    }

    void start_granted(agent& at)
    {
        for (auto const& it : std::exchange(at.granted, {}))
        {
            RC_ASSERT(++runs_.at(it.first) <= 1);
            ++covered().acquired;
            covered().acquired_after_restore += restores_ > 0 ? 1 : 0;
            at.running.push_back(it);
        }
    }

    static void release_granted(agent& at)
    {
        for (auto const& it : std::exchange(at.granted, {}))
            at.ledger.release(it.second);
    }

    static void complete_running(agent& at)
    {
        stored_answer const answer{200, "text/plain", "answer"};
        for (auto const& it : std::exchange(at.running, {}))
            at.ledger.complete(it.second, &answer);
    }

    void pass(seconds duration)
    {
        for (seconds n{0}; n < duration; ++n)
        {
            clock_.advance(seconds(1));
            for (auto const& it : agents_)
            {
                it->ledger.tick();
                it->run_tasks();
            }
        }
    }

    void restore()
    {
        if (clock_.now() - copied_at_ > seconds(30))
            return;
        table_.clear_faults();
        table_.restore();
        ++restores_;
    }

    kernel::manual_clock clock_;
    storage::tests::fake_table table_;
    tests::table_without_eras eras_hidden_;
    storage::i_table& used_;
    std::array<std::unique_ptr<agent>, process_count> agents_;
    std::array<std::size_t, key_count> runs_{};
    kernel::steady_time copied_at_ = clock_.now();
    std::size_t restores_ = 0;
};

template <typename Cluster>
void check_histories(bool hide_eras, int cases)
{
    covered() = {};
    kernel::tests::check_property(
        [hide_eras]
        {
            Cluster cluster(hide_eras);
            for (auto const& it : random_history(Cluster::step_kinds))
                cluster.run(it);
        },
        {cases, 150},
        hide_eras ? expected_verdict::counterexample : expected_verdict::holds);
}

} // namespace

// Guards against two holders of a lease, or a fencing number that is given out
// again or below an earlier one, in any sequence of restores, restarts and
// lost or late writes.
TEST_CASE("leases are exclusive under random restores")
{
    check_histories<lease_cluster>(false, 20'000);
    CHECK(covered().acquired > 1000);
    CHECK(covered().acquired_after_restore > 1000);
}

// Guards against running a keyed call twice in any sequence of restores,
// releases and lost responses.
TEST_CASE("a keyed call runs at most once under random restores")
{
    check_histories<claim_cluster>(false, 10'000);
    CHECK(covered().acquired > 1000);
    CHECK(covered().acquired_after_restore > 1000);
}

// Guards against properties that cannot detect faults.
TEST_CASE("users of the table that cannot see its era are detected")
{
    check_histories<lease_cluster>(true, 20'000);
    check_histories<claim_cluster>(true, 10'000);
}

} // namespace endiveward::admission
