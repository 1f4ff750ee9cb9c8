#include "admission/internal/row_batcher.hpp"

#include "storage/i_table.hpp"

#include <algorithm>
#include <set>

namespace endiveward::admission
{

row_batcher::row_batcher(storage::i_table& table, kernel::post_function post,
                         std::chrono::milliseconds timeout)
    : table_(table)
    , post_(std::move(post))
    , timeout_(timeout)
{
}

void row_batcher::enqueue(row_operation operation)
{
    waiting_.push_back(std::move(operation));
    if (in_flight_.empty())
        commit_next();
}

void row_batcher::commit_next()
{
    in_flight_ = take_batch();
    if (in_flight_.empty())
        return;
    storage::table_transaction transaction;
    for (auto const& it : in_flight_)
    {
        transaction.conditions.push_back(it.condition);
        transaction.writes.push_back(it.write);
    }
    table_.commit(std::move(transaction), timeout_,
                  [this, post = post_,
                   alive = std::weak_ptr(lifetime_)](commit_result const& res)
                  {
                      post(
                          [this, alive, res]
                          {
                              if (!alive.expired())
                                  on_outcome(res);
                          });
                  });
}

std::vector<row_operation> row_batcher::take_batch()
{
    std::vector<row_operation> batch;
    std::deque<row_operation> rest;
    std::set<std::string> keys;
    for (auto& it : waiting_)
    {
        // A transaction writes each row only once; further writes of the same
        // row remain queued in their order.
        bool const first = keys.insert(it.write.key).second;
        if (first && batch.size() < max_batch)
            batch.push_back(std::move(it));
        else
            rest.push_back(std::move(it));
    }
    waiting_ = std::move(rest);
    return batch;
}

void row_batcher::on_outcome(commit_result const& res)
{
    if (!kernel::ok(res))
    {
        auto const run = kernel::failure(res).run;
        return finish_all(run == kernel::run_state::not_run
                              ? row_outcome::not_written
                              : row_outcome::unknown);
    }
    auto const& outcome = kernel::value(res);
    if (outcome.committed)
        return finish_all(row_outcome::committed);
    on_conflict(outcome);
}

void row_batcher::on_conflict(storage::transaction_outcome const& outcome)
{
    std::set<std::string> const failed(outcome.failed_keys.begin(),
                                       outcome.failed_keys.end());
    auto const failed_end =
        std::stable_partition(in_flight_.begin(), in_flight_.end(),
                              [&failed](row_operation const& it)
                              { return failed.contains(it.condition.key); });
    // If no failed row belongs to this batch, it would be retried indefinitely.
    if (failed_end == in_flight_.begin())
        return finish_all(row_outcome::unknown);
    waiting_.insert(waiting_.begin(), std::make_move_iterator(failed_end),
                    std::make_move_iterator(in_flight_.end()));
    in_flight_.erase(failed_end, in_flight_.end());
    finish_all(row_outcome::condition_failed);
}

void row_batcher::finish_all(row_outcome outcome)
{
    auto const batch = std::move(in_flight_);
    in_flight_.clear();
    commit_next();
    for (auto const& it : batch)
        it.on_done(outcome);
}

} // namespace endiveward::admission
