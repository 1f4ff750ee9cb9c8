#ifndef ENDIVEWARD_STORAGE_I_TABLE_HPP
#define ENDIVEWARD_STORAGE_I_TABLE_HPP

#include "kernel/types/result.hpp"
#include "storage/types/row.hpp"
#include "storage/types/table_transaction.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::storage
{

/// The platform's transactional table. Methods return at once; the handler is
/// called exactly once, on any thread, possibly before the method returns.
/// Errors have kind `store_unavailable`. For `commit` the run state says
/// whether the transaction may have taken effect: `not_run` is certain,
/// `unknown` means that the answer was lost.
class i_table
{
public:
    template <typename T>
    using handler = std::function<void(kernel::result<T>)>;

    virtual ~i_table() = default;

    virtual void commit(table_transaction transaction,
                        std::chrono::milliseconds timeout,
                        handler<transaction_outcome> on_done) = 0;
    /// Gives no row if there is none of that key.
    virtual void read(std::string key, std::chrono::milliseconds timeout,
                      handler<std::optional<row>> on_done) = 0;
    /// Rows whose key has the prefix and is greater than `after`, in order of
    /// key, at most `limit`.
    virtual void scan(std::string prefix, std::string after, std::size_t limit,
                      std::chrono::milliseconds timeout,
                      handler<std::vector<row>> on_done) = 0;
    /// The newest era seen in an answer, 0 before the first one; thread-safe.
    /// The era grows each time the table comes back from an older copy, which
    /// loses committed transactions and gives out versions again. It is 1 until
    /// then. When a handler runs, the era of its answer is included. If the era
    /// is the same before a request and in its handler, the request ran in it.
    virtual std::uint64_t era() const = 0;
};

} // namespace endiveward::storage

#endif
