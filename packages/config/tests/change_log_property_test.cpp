#include "config/change_log.hpp"
#include "config/configuration.hpp"
#include "storage/tests/support/fake_object_store.hpp"
#include "storage/tests/support/fake_table.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

using namespace endiveward;
using storage::tests::commit_fault;

namespace
{

constexpr std::size_t operator_count = 3;
constexpr std::size_t rule_count = 2;

/// Faults and concurrent commits that are injected around one commit.
struct fault_plan
{
    commit_fault first = commit_fault::none;
    commit_fault second = commit_fault::none;
    /// Operator that commits its own change just before the first submission.
    std::optional<std::size_t> competitor_before;
    /// Operator that commits its own change after the first answer was lost.
    std::optional<std::size_t> competitor_after;
    bool deliver_before_second = false;
    bool outage_after_loss = false;
    std::size_t stale_reads = 0;
    std::size_t stale_age = 1;
};

/// Simulates operators on one table and records the outcomes of their commits.
template <typename Log>
class simulation
{
public:
    simulation()
    {
        for (std::size_t i = 0; i < operator_count; ++i)
        {
            config::change_log_options options;
            options.max_rounds = 10;
            options.sleep = [this](auto) { on_wait(); };
            logs_.at(i) = std::make_unique<Log>(table_, objects_, options);
        }
    }

    void prepare(std::size_t op, std::size_t rule, bool remove,
                 std::size_t stale_reads)
    {
        table_->set_stale_reads(stale_reads, 1);
        // A stale answer may end the read early; the change is then prepared
        // from older versions.
        static_cast<void>(logs_.at(op)->catch_up());
        table_->set_stale_reads(0, 0);
        auto const number = std::to_string(++changes_);
        auto const id = "r" + std::to_string(rule);
        std::vector<config::change_operation> operations;
        if (remove)
            operations.emplace_back(
                config::delete_object{config::object_kind::rule, id});
        else
            operations.emplace_back(config::put_object<config::rule_entry>{
                {id, 0, {"", "", "n=" + number}}});
        pending_.at(op) = logs_.at(op)->prepare(
            "change-" + number, "op-" + std::to_string(op), operations);
    }

    void commit(std::size_t op, fault_plan const& plan)
    {
        if (!pending_.at(op))
            return;
        outage_ = plan.outage_after_loss;
        competitor_after_ =
            plan.competitor_after == op ? std::nullopt : plan.competitor_after;
        if (plan.first != commit_fault::none)
            table_->push_fault(plan.first);
        if (plan.second != commit_fault::none)
            table_->push_fault(plan.second);
        auto const competitor = plan.competitor_before == op
                                    ? std::nullopt
                                    : plan.competitor_before;
        table_->before_next_commit([this, competitor]
                                   { commit_competitor(competitor); });
        if (plan.deliver_before_second)
            table_->before_next_commit([this] { table_->deliver_delayed(); });
        table_->set_stale_reads(plan.stale_reads, plan.stale_age);
        auto const change = *pending_.at(op);
        auto const res = submit(op, change);
        reset_faults();
        record_outcome(change, res);
        verify();
    }

    void deliver()
    {
        table_->deliver_delayed();
        verify();
    }

private:
    using outcome = kernel::result<config::commit_outcome>;

    outcome submit(std::size_t op, config::change const& change)
    {
        // A change that was reported as not run may commit when it is repeated.
        not_run_.erase(change.id);
        bool const repeated = !submitted_.insert(change.id).second;
        busy_.at(op) = true;
        auto res = logs_.at(op)->commit(change, repeated);
        busy_.at(op) = false;
        return res;
    }

    void on_wait()
    {
        commit_competitor(std::exchange(competitor_after_, std::nullopt));
        if (outage_)
            table_->set_unavailable(true);
    }

    void commit_competitor(std::optional<std::size_t> op)
    {
        // A change log is not reentrant, so an operator does not commit during
        // a commit of its own.
        if (!op || !pending_.at(*op) || busy_.at(*op))
            return;
        // Pending faults are meant for the other operator, but may hit this one
        // instead; no check depends on which one they hit.
        auto const change = *pending_.at(*op);
        competitor_after_.reset();
        record_outcome(change, submit(*op, change));
    }

    void reset_faults()
    {
        outage_ = false;
        competitor_after_.reset();
        table_->set_unavailable(false);
        table_->set_stale_reads(0, 0);
        table_->clear_faults();
    }

    void record_outcome(config::change const& change, outcome const& res)
    {
        if (!kernel::ok(res))
        {
            if (kernel::failure(res).run == kernel::run_state::not_run)
                not_run_.insert(change.id);
            return;
        }
        if (auto const* committed =
                std::get_if<config::change_committed>(&kernel::value(res)))
        {
            RC_ASSERT(committed_.try_emplace(change.id, committed->version)
                          .first->second == committed->version);
            return;
        }
        auto const& conflict =
            std::get<config::change_conflict>(kernel::value(res));
        conflicted_.insert(change.id);
        RC_ASSERT(conflict.committed_change.version > conflict.seen);
        winners_[conflict.committed_change.version] =
            conflict.committed_change.id;
    }

    /// Compares every outcome so far with the log, read without the code under
    /// test.
    void verify() const
    {
        std::map<std::string, std::uint64_t> last;
        std::map<std::string, std::uint64_t> ids;
        std::map<std::string, std::string> rules;
        std::uint64_t version = 0;
        auto const rows = table_->rows();
        for (auto const& [key, row] : rows)
        {
            if (!key.starts_with("config/log/"))
                continue;
            ++version;
            RC_ASSERT(key == config::log_key(version));
            RC_ASSERT(row.version == 1U);
            auto const change = nlohmann::json::parse(row.value);
            RC_ASSERT(ids.emplace(change.at("id"), version).second);
            for (auto const& it : change.at("seen").items())
            {
                // A different version would be a lost update.
                RC_ASSERT(last[it.key()] == it.value());
                last[it.key()] = version;
            }
            apply(change.at("operations"), rules);
        }
        for (auto const& [id, at] : committed_)
            RC_ASSERT(ids.contains(id) && ids.at(id) == at);
        for (auto const& id : conflicted_)
            RC_ASSERT(!ids.contains(id));
        for (auto const& id : not_run_)
            RC_ASSERT(!ids.contains(id));
        for (auto const& [at, id] : winners_)
            RC_ASSERT(ids.contains(id) && ids.at(id) == at);
        RC_ASSERT((version == 0 ||
                   rows.at("config/head").value == std::to_string(version)));
        verify_reader(version, rules);
    }

    static void apply(nlohmann::json const& operations,
                      std::map<std::string, std::string>& rules)
    {
        for (auto const& it : operations)
            if (it.at("op") == "delete_rule")
                rules.erase(it.at("id").get<std::string>());
            else
                rules[it.at("rule").at("id")] = it.at("rule").at("endpoints");
    }

    void verify_reader(std::uint64_t version,
                       std::map<std::string, std::string> const& rules) const
    {
        config::change_log reader(table_, objects_);
        auto const res = reader.catch_up();
        RC_ASSERT(kernel::ok(res));
        RC_ASSERT(kernel::value(res)->version() == version);
        std::map<std::string, std::string> actual;
        for (auto const& [id, it] : kernel::value(res)->data()->rules)
            actual[id] = it->selectors.endpoints;
        RC_ASSERT(actual == rules);
    }

    std::shared_ptr<storage::tests::fake_table> table_ =
        std::make_shared<storage::tests::fake_table>();
    std::shared_ptr<storage::tests::fake_object_store> objects_ =
        std::make_shared<storage::tests::fake_object_store>();
    std::array<std::unique_ptr<Log>, operator_count> logs_;
    std::array<std::optional<config::change>, operator_count> pending_;
    std::array<bool, operator_count> busy_{};
    std::size_t changes_ = 0;
    bool outage_ = false;
    std::optional<std::size_t> competitor_after_;
    std::map<std::string, std::uint64_t> committed_;
    std::map<std::uint64_t, std::string> winners_;
    std::set<std::string> submitted_;
    /// Changes that ended in a conflict; they never commit, even if repeated.
    std::set<std::string> conflicted_;
    /// Changes whose last attempt was reported as not run.
    std::set<std::string> not_run_;
};

/// Model state: the operators that have prepared a change.
struct model
{
    std::array<bool, operator_count> prepared{};
};

std::size_t random_below(std::size_t limit)
{
    return *rc::gen::inRange<std::size_t>(0, limit);
}

template <typename Log>
class prepare_command : public rc::state::Command<model, simulation<Log>>
{
public:
    void apply(model& state) const override { state.prepared.at(op_) = true; }
    void run(model const&, simulation<Log>& sut) const override
    {
        sut.prepare(op_, rule_, remove_, stale_reads_);
    }
    void show(std::ostream& os) const override
    {
        os << "prepare(operator " << op_ << ", rule " << rule_ << ", remove "
           << remove_ << ", stale " << stale_reads_ << ")";
    }

private:
    std::size_t op_ = random_below(operator_count);
    std::size_t rule_ = random_below(rule_count);
    bool remove_ = random_below(4) == 0;
    std::size_t stale_reads_ = random_below(3);
};

template <typename Log>
class commit_command : public rc::state::Command<model, simulation<Log>>
{
public:
    commit_command()
    {
        plan_.first = static_cast<commit_fault>(random_below(5));
        plan_.second = static_cast<commit_fault>(random_below(5));
        if (random_below(2) == 0)
            plan_.competitor_before = random_below(operator_count);
        if (random_below(2) == 0)
            plan_.competitor_after = random_below(operator_count);
        plan_.deliver_before_second = random_below(2) == 0;
        plan_.outage_after_loss = random_below(5) == 0;
        plan_.stale_reads = random_below(8);
        plan_.stale_age = 1 + random_below(3);
    }
    void checkPreconditions(model const& state) const override
    {
        RC_PRE(state.prepared.at(op_));
    }
    void run(model const&, simulation<Log>& sut) const override
    {
        sut.commit(op_, plan_);
    }
    void show(std::ostream& os) const override
    {
        os << "commit(operator " << op_ << ", faults "
           << static_cast<int>(plan_.first) << " "
           << static_cast<int>(plan_.second) << ", competitors "
           << static_cast<int>(plan_.competitor_before.value_or(9)) << " "
           << static_cast<int>(plan_.competitor_after.value_or(9))
           << ", deliver " << plan_.deliver_before_second << ", outage "
           << plan_.outage_after_loss << ", stale " << plan_.stale_reads << "/"
           << plan_.stale_age << ")";
    }

private:
    std::size_t op_ = random_below(operator_count);
    fault_plan plan_;
};

template <typename Log>
class deliver_command : public rc::state::Command<model, simulation<Log>>
{
public:
    void run(model const&, simulation<Log>& sut) const override
    {
        sut.deliver();
    }
    void show(std::ostream& os) const override { os << "deliver()"; }
};

template <typename Log>
rc::detail::TestResult check_log()
{
    return rc::detail::checkTestable(
        []
        {
            simulation<Log> sut;
            rc::state::check(model(), sut,
                             rc::state::gen::execOneOfWithArgs<
                                 prepare_command<Log>, commit_command<Log>,
                                 commit_command<Log>, deliver_command<Log>>());
        });
}

bool is_success(rc::detail::TestResult const& res)
{
    return res.is<rc::detail::SuccessResult>();
}

bool is_counterexample(rc::detail::TestResult const& res)
{
    return res.is<rc::detail::FailureResult>();
}

/// Planted fault: overwrites changes of other operators, because it detects no
/// conflicts.
class log_without_conflicts : public config::change_log
{
public:
    using change_log::change_log;

protected:
    std::optional<config::change_conflict>
    find_conflict(config::change const&) const override
    {
        return std::nullopt;
    }
};

/// Planted fault: does not check after a lost answer whether its own change was
/// committed.
class log_without_read_back : public config::change_log
{
public:
    using change_log::change_log;

protected:
    kernel::result<std::optional<config::change_committed>>
    find_committed(config::change const&) override
    {
        return std::optional<config::change_committed>();
    }
};

/// Planted fault: neither checks nor writes the change id.
class log_without_change_id : public config::change_log
{
public:
    using change_log::change_log;

protected:
    storage::table_transaction
    make_transaction(config::change const& candidate) const override
    {
        auto res = change_log::make_transaction(candidate);
        res.conditions.pop_back();
        res.writes.pop_back();
        return res;
    }
    kernel::result<std::optional<config::change_committed>>
    find_committed(config::change const&) override
    {
        return std::optional<config::change_committed>();
    }
    std::optional<config::change_conflict>
    find_conflict(config::change const& candidate) const override
    {
        auto res = change_log::find_conflict(candidate);
        return res && res->committed_change.id == candidate.id ? std::nullopt
                                                               : res;
    }
};

} // namespace

TEST_CASE("outcomes of concurrent operators agree with the log",
          "[change_log][property]")
{
    // Guards against lost updates, double commits, and outcomes that are wrong
    // after lost answers, delayed transactions, outages and stale reads.
    auto const res = check_log<config::change_log>();
    std::ostringstream message;
    rc::detail::printResultMessage(res, message);
    INFO(message.str());
    CHECK(is_success(res));
}

TEST_CASE("planted faults of the change log are detected",
          "[change_log][property]")
{
    // Guards against a property that passes whatever the change log does.
    CHECK(is_counterexample(check_log<log_without_conflicts>()));
    CHECK(is_counterexample(check_log<log_without_read_back>()));
    CHECK(is_counterexample(check_log<log_without_change_id>()));
}
