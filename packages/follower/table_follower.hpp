#ifndef ENDIVEWARD_FOLLOWER_TABLE_FOLLOWER_HPP
#define ENDIVEWARD_FOLLOWER_TABLE_FOLLOWER_HPP

#include "follower/types/follower_options.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/store_position.hpp"
#include "storage/i_row_feed.hpp"

#include <asio/steady_timer.hpp>

#include <cstdint>
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
/// differences. If the store was restored from a copy, reads the table again
/// and replaces the rows; the rows of the earlier era are kept until then.
class table_follower : public std::enable_shared_from_this<table_follower>
{
public:
    table_follower(asio::io_context& context, kernel::i_clock const& clock,
                   storage::i_row_feed& feed, kernel::i_random_source& random,
                   i_table_listener& listener, follower_options options);

    void start();
    void stop();
    /// A long poll that has begun is completed in either mode.
    void set_mode(follow_mode mode);
    /// Merges rows that another process has read. Rows of this era that are not
    /// newer than `position()` are ignored. Rows of an earlier era are reported
    /// but not kept.
    void merge(std::vector<storage::table_row> const& rows);
    /// Another process knows this era of the store.
    void on_named_era(std::uint64_t era);

    std::map<std::string, storage::table_row> const& rows() const
    {
        return rows_;
    }
    /// Zero until the table has been read.
    kernel::store_position const& position() const { return position_; }
    /// Newest era that is known; that of `position()` once it has been read.
    std::uint64_t newest_era() const { return newest_era_; }
    bool reachable() const { return reachable_; }

private:
    /// Identifies a call and the newest era that was known when it was made.
    struct call_id
    {
        std::uint64_t number = 0;
        std::uint64_t era = 0;
    };

    void read_all();
    void next_call();
    void wait_for_changes();
    void request_changes(std::chrono::milliseconds wait);
    void on_full_read(call_id call, storage::i_row_feed::batch_result res);
    void on_changes(call_id call, storage::i_row_feed::batch_result res);
    void on_error(storage::feed_error const& error);
    void on_success(kernel::store_position const& answered);
    void report_contact(bool reachable, std::string const& reason,
                        kernel::store_position const& answered);
    call_id begin_call(std::chrono::milliseconds requested_wait);
    bool accepts(std::uint64_t call) const;
    void replace_rows(storage::row_batch batch);
    void read_restored_table(std::uint64_t era);
    void retry_after(std::chrono::milliseconds delay);
    void retry_later();
    void report_unnamed(std::string const& reason);
    void on_older_answer(std::uint64_t era);
    void set_newest_era(std::uint64_t era);
    std::vector<storage::table_row>
    merge_rows(std::vector<storage::table_row> rows);

    kernel::i_clock const& clock_;
    storage::i_row_feed& feed_;
    kernel::i_random_source& random_;
    i_table_listener& listener_;
    follower_options options_;
    asio::steady_timer timer_;
    std::map<std::string, storage::table_row> rows_;
    kernel::store_position position_;
    /// Newest era that the store or another process has named.
    std::uint64_t newest_era_ = 0;
    std::uint64_t last_call_ = 0;
    kernel::steady_time last_call_at_{};
    std::chrono::milliseconds requested_wait_{0};
    kernel::steady_time last_failed_call_{};
    std::chrono::milliseconds backoff_{0};
    bool reachable_ = false;
    bool needs_full_read_ = true;
    bool loaded_ = false;
    bool reported_unnamed_ = false;
    bool reported_older_ = false;
    bool stopped_ = false;
    follow_mode mode_ = follow_mode::long_poll;
    /// The next call is made when the period has passed.
    bool in_period_ = false;
};

} // namespace endiveward::follower

#endif
