#ifndef ENDIVEWARD_STORAGE_I_ROW_FEED_HPP
#define ENDIVEWARD_STORAGE_I_ROW_FEED_HPP

#include "kernel/types/store_position.hpp"
#include "storage/types/feed_error.hpp"
#include "storage/types/row_batch.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <variant>

namespace endiveward::storage
{

/// Tables of the platform whose changes can be followed. Handlers run later
/// on the caller's thread, exactly once; a timeout is an error.
class i_row_feed
{
public:
    using batch_result = std::variant<row_batch, feed_error>;
    using batch_handler = std::function<void(batch_result)>;

    virtual ~i_row_feed() = default;

    /// All rows of a table.
    virtual void read_all(std::string const& table,
                          std::chrono::milliseconds timeout,
                          batch_handler on_done) = 0;
    /// Rows that changed after a position, as soon as there is one; an empty
    /// batch if there is none within `wait`.
    virtual void wait_for_changes(std::string const& table,
                                  kernel::store_position const& after,
                                  std::chrono::milliseconds wait,
                                  std::chrono::milliseconds timeout,
                                  batch_handler on_done) = 0;
};

} // namespace endiveward::storage

#endif
