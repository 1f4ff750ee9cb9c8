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

/// Combines conditional writes of single rows into transactions. At most one
/// transaction is in flight; operations enqueued meanwhile are combined into
/// the next one, which bounds the load that an agent puts on the table.
class row_batcher
{
    storage::i_table& table_;
    kernel::post_function post_;

public:
    static constexpr std::size_t max_batch = 64;

    row_batcher(storage::i_table& table, kernel::post_function post,
                std::chrono::milliseconds timeout);

    /// The operation's handler is called exactly once, asynchronously, on the
    /// owner's thread.
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
    /// Callbacks hold a weak reference to it, so that responses that arrive
    /// after the destruction of this object are ignored.
    std::shared_ptr<char> const lifetime_ = std::make_shared<char>();
};

} // namespace endiveward::admission

#endif
