#ifndef ENDIVEWARD_STORAGE_TESTS_SUPPORT_FAKE_TABLE_HPP
#define ENDIVEWARD_STORAGE_TESTS_SUPPORT_FAKE_TABLE_HPP

#include "storage/i_table.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace endiveward::storage::tests
{

/// What happens to a commit.
enum class commit_fault : std::uint8_t
{
    none,
    not_run,     ///< Refused before it ran.
    lost_before, ///< No answer; it never takes effect.
    lost_after,  ///< No answer, but it was evaluated.
    delayed      ///< No answer; it is evaluated by `deliver_delayed`.
};

/// An in-memory table that fails on request. Handlers run before the method
/// returns, on the caller's thread. Safe for concurrent use.
class fake_table : public i_table
{
public:
    void commit(table_transaction transaction, std::chrono::milliseconds,
                handler<transaction_outcome> on_done) override
    {
        if (auto const hook = take_hook())
            hook();
        auto res = run_commit(std::move(transaction));
        if (!hold(on_done, res))
            on_done(std::move(res));
    }

    void read(std::string key, std::chrono::milliseconds,
              handler<std::optional<row>> on_done) override
    {
        on_done(run_read(key));
    }

    void scan(std::string prefix, std::string after, std::size_t limit,
              std::chrono::milliseconds,
              handler<std::vector<row>> on_done) override
    {
        on_done(run_scan(prefix, after, limit));
    }

    std::uint64_t era() const override
    {
        std::lock_guard const lock(mutex_);
        return seen_era_;
    }

    /// While unavailable, every method gives `store_unavailable`, `not_run`.
    void set_unavailable(bool unavailable)
    {
        std::lock_guard const lock(mutex_);
        unavailable_ = unavailable;
    }
    /// Adds the fate of the next commit that has none yet.
    void push_fault(commit_fault fault)
    {
        std::lock_guard const lock(mutex_);
        faults_.push_back(fault);
    }
    /// Forgets faults and hooks that have not been used.
    void clear_faults()
    {
        std::lock_guard const lock(mutex_);
        faults_.clear();
        hooks_.clear();
    }
    /// Answers to commits wait until `release_answers`.
    void hold_answers()
    {
        std::lock_guard const lock(mutex_);
        holding_ = true;
    }
    void release_answers()
    {
        std::vector<std::function<void()>> held;
        {
            std::lock_guard const lock(mutex_);
            holding_ = false;
            held.swap(held_);
        }
        for (auto const& it : held)
            it();
    }
    /// The next `count` reads and scans see the rows as they were `age`
    /// committed transactions ago.
    void set_stale_reads(std::size_t count, std::size_t age)
    {
        std::lock_guard const lock(mutex_);
        stale_count_ = count;
        stale_age_ = age;
    }
    /// Runs once before the next commit is evaluated; it may use the table.
    void before_next_commit(std::function<void()> hook)
    {
        std::lock_guard const lock(mutex_);
        hooks_.push_back(std::move(hook));
    }
    /// Evaluates delayed commits in their order; gives how many took effect.
    std::size_t deliver_delayed()
    {
        std::lock_guard const lock(mutex_);
        std::size_t res = 0;
        for (auto const& it : std::exchange(delayed_, {}))
            res += evaluate(it).committed ? 1 : 0;
        return res;
    }

    /// Keeps the rows as they are for `restore`.
    void make_copy()
    {
        std::lock_guard const lock(mutex_);
        copy_ = rows_;
    }
    /// Brings back the copy; the next answer names an era that is one higher.
    void restore()
    {
        std::lock_guard const lock(mutex_);
        rows_ = copy_;
        history_.clear();
        ++era_;
    }
    /// From now on answers name the era, as those of a table that is never
    /// restored do not need to.
    void name_eras()
    {
        std::lock_guard const lock(mutex_);
        era_ = 1;
    }

    std::map<std::string, row> rows() const
    {
        std::lock_guard const lock(mutex_);
        return rows_;
    }
    /// Writes a row without a transaction.
    void put(std::string const& key, std::string value)
    {
        std::lock_guard const lock(mutex_);
        write({key, std::move(value)});
    }
    void erase(std::string const& key)
    {
        std::lock_guard const lock(mutex_);
        rows_.erase(key);
    }
    std::size_t commits() const
    {
        std::lock_guard const lock(mutex_);
        return commits_;
    }
    std::size_t reads() const
    {
        std::lock_guard const lock(mutex_);
        return reads_;
    }

private:
    // Older rows that stale reads can see.
    static constexpr std::size_t kept_history = 16;

    static kernel::error failed(kernel::run_state run)
    {
        return {kernel::error_kind::store_unavailable,
                "the table did not answer; retry later", run, std::nullopt};
    }

    bool hold(handler<transaction_outcome> const& on_done,
              kernel::result<transaction_outcome> const& res)
    {
        std::lock_guard const lock(mutex_);
        if (holding_)
            held_.push_back([on_done, res] { on_done(res); });
        return holding_;
    }

    std::function<void()> take_hook()
    {
        std::lock_guard const lock(mutex_);
        if (hooks_.empty())
            return {};
        auto res = std::move(hooks_.front());
        hooks_.pop_front();
        return res;
    }

    kernel::result<transaction_outcome>
    run_commit(table_transaction transaction)
    {
        std::lock_guard const lock(mutex_);
        ++commits_;
        auto fault = commit_fault::none;
        if (!faults_.empty())
        {
            fault = faults_.front();
            faults_.pop_front();
        }
        if (unavailable_ || fault == commit_fault::not_run)
            return failed(kernel::run_state::not_run);
        if (fault == commit_fault::none)
            seen_era_ = era_;
        if (fault == commit_fault::delayed)
            delayed_.push_back(std::move(transaction));
        else if (fault != commit_fault::lost_before)
        {
            auto res = evaluate(transaction);
            if (fault == commit_fault::none)
                return res;
        }
        return failed(kernel::run_state::unknown);
    }

    transaction_outcome evaluate(table_transaction const& transaction)
    {
        transaction_outcome res;
        for (auto const& it : transaction.conditions)
        {
            auto const found = rows_.find(it.key);
            auto const version =
                found == rows_.end() ? 0 : found->second.version;
            if (version != it.version)
                res.failed_keys.push_back(it.key);
        }
        res.committed = res.failed_keys.empty();
        if (!res.committed)
            return res;
        history_.push_front(rows_);
        if (history_.size() > kept_history)
            history_.pop_back();
        for (auto const& it : transaction.writes)
            write(it);
        return res;
    }

    void write(row_write const& what)
    {
        if (!what.value)
        {
            rows_.erase(what.key);
            return;
        }
        auto& it = rows_[what.key];
        it.key = what.key;
        it.value = *what.value;
        ++it.version;
    }

    std::map<std::string, row> const& visible_rows()
    {
        ++reads_;
        seen_era_ = era_;
        if (stale_count_ == 0)
            return rows_;
        --stale_count_;
        if (history_.empty() || stale_age_ == 0)
            return rows_;
        return history_[std::min(stale_age_, history_.size()) - 1];
    }

    kernel::result<std::optional<row>> run_read(std::string const& key)
    {
        std::lock_guard const lock(mutex_);
        if (unavailable_)
            return failed(kernel::run_state::not_run);
        auto const& rows = visible_rows();
        auto const it = rows.find(key);
        if (it == rows.end())
            return std::optional<row>();
        return std::optional<row>(it->second);
    }

    kernel::result<std::vector<row>> run_scan(std::string const& prefix,
                                              std::string const& after,
                                              std::size_t limit)
    {
        std::lock_guard const lock(mutex_);
        if (unavailable_)
            return failed(kernel::run_state::not_run);
        std::vector<row> res;
        auto const& rows = visible_rows();
        auto it = rows.upper_bound(after);
        if (after < prefix)
            it = rows.lower_bound(prefix);
        for (; it != rows.end() && res.size() < limit &&
               it->first.starts_with(prefix);
             ++it)
            res.push_back(it->second);
        return res;
    }

    mutable std::mutex mutex_;
    std::map<std::string, row> rows_;
    std::deque<std::map<std::string, row>> history_;
    std::deque<commit_fault> faults_;
    std::deque<std::function<void()>> hooks_;
    std::vector<table_transaction> delayed_;
    std::vector<std::function<void()>> held_;
    std::map<std::string, row> copy_;
    /// 0: not named in answers.
    std::uint64_t era_ = 0;
    std::uint64_t seen_era_ = 0;
    bool holding_ = false;
    bool unavailable_ = false;
    std::size_t stale_count_ = 0;
    std::size_t stale_age_ = 0;
    std::size_t commits_ = 0;
    std::size_t reads_ = 0;
};

} // namespace endiveward::storage::tests

#endif
