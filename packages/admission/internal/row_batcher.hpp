#ifndef ENDIVEWARD_ADMISSION_INTERNAL_ROW_BATCHER_HPP
#define ENDIVEWARD_ADMISSION_INTERNAL_ROW_BATCHER_HPP

#include "admission/types/row_operation.hpp"
#include "kernel/post_function.hpp"
#include "kernel/types/result.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

namespace endiveward::storage
{
class i_table;
struct transaction_outcome;
} // namespace endiveward::storage

namespace endiveward::admission
{

/// Joins conditional writes of single rows into transactions. At most one
/// transaction is in flight; operations that arrive meanwhile share the next
/// one, which bounds the load of an agent on the table.
class row_batcher
{
    storage::i_table& table_;
    kernel::post_function post_;

public:
    static constexpr std::size_t max_batch = 64;

    row_batcher(storage::i_table& table, kernel::post_function post,
                std::chrono::milliseconds timeout);

    /// The operation's handler is called later, exactly once, on the thread
    /// of the owner.
    void enqueue(row_operation operation);

private:
    using commit_result = kernel::result<storage::transaction_outcome>;

    void commit_next();
    std::vector<row_operation> take_batch();
    void on_outcome(commit_result const& res);
    void on_conflict(storage::transaction_outcome const& outcome);
    void finish_all(row_outcome outcome);

    std::chrono::milliseconds const timeout_;
    std::deque<row_operation> waiting_;
    std::vector<row_operation> in_flight_;
    /// Expires with this object, so that late answers are ignored.
    std::shared_ptr<char> const lifetime_ = std::make_shared<char>();
};

} // namespace endiveward::admission

#endif
