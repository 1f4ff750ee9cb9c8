#ifndef ENDIVEWARD_FOLLOWER_TABLE_FOLLOWER_HPP
#define ENDIVEWARD_FOLLOWER_TABLE_FOLLOWER_HPP

#include "follower/types/follower_options.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/store_position.hpp"
#include "storage/i_row_feed.hpp"

#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace endiveward::kernel
{
class i_random_source;
}

namespace endiveward::follower
{

class i_table_listener;

/// Maintains a copy of a table: reads it once, then waits for changes. If the
/// store has lost the history of changes, reads the table again and reports the
/// differences.
class table_follower : public std::enable_shared_from_this<table_follower>
{
public:
    table_follower(asio::io_context& context, storage::i_row_feed& feed,
                   kernel::i_random_source& random, i_table_listener& listener,
                   follower_options options);

    void start();
    void stop();
    /// A long poll that has begun is completed in either mode.
    void set_mode(follow_mode mode);
    /// Merges rows that another process has read. Rows that are not newer than
    /// `position()` are ignored.
    void merge(std::vector<storage::table_row> const& rows);

    std::map<std::string, storage::table_row> const& rows() const
    {
        return rows_;
    }
    /// Zero until the table has been read.
    kernel::store_position const& position() const { return position_; }
    bool reachable() const { return reachable_; }

private:
    void read_all();
    void next_call();
    void wait_for_changes();
    void request_changes(std::chrono::milliseconds wait);
    void on_full_read(storage::i_row_feed::batch_result res);
    void on_changes(storage::i_row_feed::batch_result res);
    void on_error(storage::feed_error const& error);
    void on_success();
    std::vector<storage::table_row>
    merge_rows(std::vector<storage::table_row> rows);

    storage::i_row_feed& feed_;
    kernel::i_random_source& random_;
    i_table_listener& listener_;
    follower_options options_;
    asio::steady_timer timer_;
    std::map<std::string, storage::table_row> rows_;
    kernel::store_position position_;
    std::chrono::milliseconds backoff_{0};
    bool reachable_ = false;
    bool needs_full_read_ = true;
    bool stopped_ = false;
    follow_mode mode_ = follow_mode::long_poll;
    /// The next call is made when the period has passed.
    bool in_period_ = false;
};

} // namespace endiveward::follower

#endif
