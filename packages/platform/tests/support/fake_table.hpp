#ifndef ENDIVEWARD_PLATFORM_TESTS_SUPPORT_FAKE_TABLE_HPP
#define ENDIVEWARD_PLATFORM_TESTS_SUPPORT_FAKE_TABLE_HPP

#include "platform/i_table.hpp"

#include <algorithm>
#include <deque>
#include <map>

namespace endiveward::platform::testing
{

/// An in-memory table with failures. Handlers run before the call returns,
/// unless answers are held.
class fake_table : public i_table
{
public:
    enum class fault : std::uint8_t
    {
        none,
        /// Refused; certainly without effect.
        unavailable,
        /// Takes effect, but the answer is lost.
        answer_lost,
        /// Has no effect, and the caller cannot tell.
        request_lost,
        /// The answer is lost, and the effect comes with `deliver_late`.
        late
    };

    /// The next operations meet these faults, in order.
    void plan(std::initializer_list<fault> faults)
    {
        planned_.insert(planned_.end(), faults);
    }
    void set_down(bool down) { down_ = down; }

    /// Answers wait until `release_answers`.
    void hold_answers() { holding_ = true; }
    void release_answers()
    {
        holding_ = false;
        auto const held = std::move(held_);
        held_.clear();
        for (auto const& it : held)
            it();
    }
    /// Applies the transactions that met `fault::late`.
    void deliver_late()
    {
        auto const late = std::move(late_);
        late_.clear();
        for (auto const& it : late)
            apply(it);
    }

    void commit(table_transaction transaction, std::chrono::milliseconds,
                handler<transaction_outcome> on_done) override
    {
        ++commits;
        switch (next_fault())
        {
        case fault::unavailable:
            return answer<transaction_outcome>(on_done, unavailable());
        case fault::answer_lost:
            apply(transaction);
            return answer<transaction_outcome>(on_done, lost());
        case fault::request_lost:
            return answer<transaction_outcome>(on_done, lost());
        case fault::late:
            late_.push_back(std::move(transaction));
            return answer<transaction_outcome>(on_done, lost());
        case fault::none:
            break;
        }
        answer<transaction_outcome>(on_done, apply(transaction));
    }

    void read(std::string key, std::chrono::milliseconds,
              handler<std::optional<row>> on_done) override
    {
        ++reads;
        if (next_fault() != fault::none)
            return answer<std::optional<row>>(on_done, unavailable());
        answer<std::optional<row>>(on_done, find(key));
    }

    void scan(std::string prefix, std::string after, std::size_t limit,
              std::chrono::milliseconds,
              handler<std::vector<row>> on_done) override
    {
        ++reads;
        if (next_fault() != fault::none)
            return answer<std::vector<row>>(on_done, unavailable());
        std::vector<row> found;
        for (auto it = rows.lower_bound(prefix);
             it != rows.end() && it->first.starts_with(prefix) &&
             found.size() < limit;
             ++it)
        {
            if (it->first > after)
                found.push_back(it->second);
        }
        answer<std::vector<row>>(on_done, std::move(found));
    }

    std::optional<row> find(std::string const& key) const
    {
        auto const it = rows.find(key);
        if (it == rows.end())
            return std::nullopt;
        return it->second;
    }

    std::map<std::string, row> rows;
    std::size_t commits = 0;
    std::size_t reads = 0;

private:
    fault next_fault()
    {
        if (down_)
            return fault::unavailable;
        if (planned_.empty())
            return fault::none;
        auto const next = planned_.front();
        planned_.pop_front();
        return next;
    }

    transaction_outcome apply(table_transaction const& transaction)
    {
        transaction_outcome outcome;
        for (auto const& it : transaction.conditions)
        {
            auto const found = find(it.key);
            if ((found ? found->version : 0) != it.version)
                outcome.failed_keys.push_back(it.key);
        }
        outcome.committed = outcome.failed_keys.empty();
        if (!outcome.committed)
            return outcome;
        for (auto const& it : transaction.writes)
        {
            if (!it.value)
            {
                rows.erase(it.key);
                continue;
            }
            auto& written = rows[it.key];
            written = {it.key, *it.value, written.version + 1};
        }
        return outcome;
    }

    template <typename T>
    void answer(handler<T> const& on_done, kernel::result<T> res)
    {
        if (holding_)
            held_.push_back([on_done, res] { on_done(res); });
        else
            on_done(res);
    }

    static kernel::error unavailable()
    {
        return {kernel::error_kind::store_unavailable,
                "the table is down",
                kernel::run_state::not_run,
                {}};
    }
    static kernel::error lost()
    {
        return {kernel::error_kind::store_unavailable,
                "the answer was lost",
                kernel::run_state::unknown,
                {}};
    }

    bool down_ = false;
    bool holding_ = false;
    std::deque<fault> planned_;
    std::vector<std::function<void()>> held_;
    std::vector<table_transaction> late_;
};

} // namespace endiveward::platform::testing

#endif
