#include "follower/table_follower.hpp"

#include "follower/i_table_listener.hpp"
#include "kernel/half_jitter.hpp"
#include "kernel/i_random_source.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace endiveward::follower
{

using storage::feed_error;
using storage::row_batch;
using storage::table_row;

table_follower::table_follower(asio::io_context& context,
                               kernel::i_clock const& clock,
                               storage::i_row_feed& feed,
                               kernel::i_random_source& random,
                               i_table_listener& listener,
                               follower_options options)
    : clock_(clock)
    , feed_(feed)
    , random_(random)
    , listener_(listener)
    , options_(std::move(options))
    , timer_(context)
{
}

void table_follower::start()
{
    read_all();
}

void table_follower::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void table_follower::read_all()
{
    feed_.read_all(options_.table, options_.response_timeout,
                   [self = shared_from_this(),
                    call = begin_call(std::chrono::milliseconds(0))](auto res)
                   {
                       if (self->accepts(call.number))
                           self->on_full_read(call, std::move(res));
                   });
}

table_follower::call_id
table_follower::begin_call(std::chrono::milliseconds requested_wait)
{
    last_call_at_ = clock_.now();
    requested_wait_ = requested_wait;
    return {++last_call_, newest_era_};
}

/// A call that was open when another process named a newer era is replaced by a
/// full read, and its answer is ignored. So are timers that have already fired
/// when their call is replaced.
bool table_follower::accepts(std::uint64_t call) const
{
    return !stopped_ && call == last_call_;
}

void table_follower::set_mode(follow_mode mode)
{
    if (std::exchange(mode_, mode) == mode)
        return;
    if (mode == follow_mode::long_poll && std::exchange(in_period_, false))
    {
        timer_.cancel();
        wait_for_changes();
    }
}

void table_follower::next_call()
{
    if (mode_ == follow_mode::long_poll)
        return wait_for_changes();
    in_period_ = true;
    timer_.expires_after(options_.period);
    timer_.async_wait(
        [self = shared_from_this(), number = last_call_](std::error_code ec)
        {
            if (ec || !self->accepts(number) ||
                !std::exchange(self->in_period_, false))
                return;
            self->request_changes(std::chrono::milliseconds(0));
        });
}

void table_follower::wait_for_changes()
{
    request_changes(options_.long_poll_time);
}

void table_follower::request_changes(std::chrono::milliseconds wait)
{
    feed_.wait_for_changes(
        options_.table, position_, wait, wait + options_.response_timeout,
        [self = shared_from_this(), call = begin_call(wait)](auto res)
        {
            if (self->accepts(call.number))
                self->on_changes(call, std::move(res));
        });
}

namespace
{

/// A store that names no era any more is followed as before. The answer belongs
/// to the era in which it was requested, so that one that was open over a
/// restore is still recognized as old. Ignoring such answers instead would keep
/// a process on its last configuration for as long as the header is missing.
void complete_era(row_batch& batch, std::uint64_t era_of_call)
{
    if (batch.position.era != 0)
        return;
    batch.position.era = era_of_call;
    for (auto& it : batch.rows)
        it.position.era = era_of_call;
}

} // namespace

void table_follower::on_full_read(call_id call,
                                  storage::i_row_feed::batch_result res)
{
    if (auto const* error = std::get_if<feed_error>(&res))
        return on_error(*error);
    auto& batch = std::get<row_batch>(res);
    report_unnamed(batch.era_reason);
    complete_era(batch, call.era);
    if (batch.position.era < newest_era_)
        return on_older_answer(batch.position.era);
    on_success(batch.position);
    // A stale answer may lack rows that are already known.
    if (batch.position < position_)
        return retry_later();
    needs_full_read_ = false;
    backoff_ = std::chrono::milliseconds(0);
    if (loaded_ && batch.position.era > position_.era)
        replace_rows(std::move(batch));
    else
    {
        newest_era_ = batch.position.era;
        std::set<std::string> present;
        for (auto const& it : batch.rows)
            present.insert(it.key);
        for (auto const& [key, it] : rows_)
        {
            if (!present.contains(key) && it.position <= batch.position)
                batch.rows.push_back({key, {}, batch.position, true});
        }
        position_ = batch.position;
        loaded_ = true;
        listener_.on_rows(merge_rows(std::move(batch.rows)), position_);
    }
    next_call();
}

/// Replaces the rows of earlier eras. Newer rows of this era may be known from
/// other processes.
void table_follower::replace_rows(row_batch batch)
{
    set_newest_era(batch.position.era);
    position_ = batch.position;
    std::erase_if(rows_, [this](auto const& it)
                  { return it.second.position <= position_; });
    merge_rows(std::move(batch.rows));
    std::vector<table_row> all;
    all.reserve(rows_.size());
    for (auto const& [key, it] : rows_)
        all.push_back(it);
    listener_.on_restored_rows(all, position_);
}

void table_follower::on_changes(call_id call,
                                storage::i_row_feed::batch_result res)
{
    if (auto const* error = std::get_if<feed_error>(&res))
        return on_error(*error);
    auto& batch = std::get<row_batch>(res);
    report_unnamed(batch.era_reason);
    complete_era(batch, call.era);
    if (batch.position.era < newest_era_)
        return on_older_answer(batch.position.era);
    on_success(batch.position);
    // These are changes since a version of another history.
    if (batch.position.era > newest_era_)
        return read_restored_table(batch.position.era);
    backoff_ = std::chrono::milliseconds(0);
    position_ = std::max(position_, batch.position);
    auto const changed = merge_rows(std::move(batch.rows));
    if (changed.empty())
        return next_call();
    listener_.on_rows(changed, position_);
    timer_.expires_after(options_.coalescing_delay);
    timer_.async_wait(
        [self = shared_from_this(), number = last_call_](std::error_code ec)
        {
            if (!ec && self->accepts(number))
                self->next_call();
        });
}

void table_follower::on_named_era(std::uint64_t era)
{
    if (stopped_ || era <= newest_era_)
        return;
    // A full read is open or planned already.
    if (needs_full_read_)
        return set_newest_era(era);
    read_restored_table(era);
}

void table_follower::set_newest_era(std::uint64_t era)
{
    if (era > newest_era_)
        listener_.on_era_notice(
            {era_notice::kind::newer, newest_era_, era, {}});
    newest_era_ = era;
    reported_unnamed_ = false;
    reported_older_ = false;
}

/// Plans a full read. The copy is kept as it is until then.
void table_follower::read_restored_table(std::uint64_t era)
{
    set_newest_era(era);
    needs_full_read_ = true;
    // The answer of an open call could only be older.
    ++last_call_;
    in_period_ = false;
    auto const choices =
        static_cast<std::uint64_t>(options_.restored_read_spread.count() + 1);
    retry_after(std::chrono::milliseconds(
        static_cast<std::int64_t>(random_.next() % choices)));
}

void table_follower::report_unnamed(std::string const& reason)
{
    if (reason.empty() || std::exchange(reported_unnamed_, true))
        return;
    listener_.on_era_notice(
        {era_notice::kind::unnamed, newest_era_, 0, reason});
}

void table_follower::on_older_answer(std::uint64_t era)
{
    if (!std::exchange(reported_older_, true))
        listener_.on_era_notice(
            {era_notice::kind::older, newest_era_, era, {}});
    retry_later();
}

void table_follower::merge(std::vector<table_row> const& rows)
{
    // Rows of this era that are not newer than the last read are already known;
    // one that is absent here was deleted and must not be restored. Rows of an
    // earlier era may be missing in the copy that the store was restored from,
    // and the listener compares their content.
    std::vector<table_row> newer;
    std::vector<table_row> changed;
    auto era = newest_era_;
    for (auto const& it : rows)
    {
        era = std::max(era, it.position.era);
        if (it.position > position_)
            newer.push_back(it);
        else if (it.position.era < position_.era)
            changed.push_back(it);
    }
    for (auto& it : merge_rows(std::move(newer)))
        changed.push_back(std::move(it));
    if (!changed.empty())
        listener_.on_rows(changed, position_);
    on_named_era(era);
}

/// Keeps the newest state of each row and returns the rows that changed.
std::vector<table_row> table_follower::merge_rows(std::vector<table_row> rows)
{
    std::vector<table_row> changed;
    for (auto& it : rows)
    {
        auto const found = rows_.find(it.key);
        if (found != rows_.end() && found->second.position >= it.position)
            continue;
        if (found == rows_.end() && it.deleted)
            continue;
        if (it.deleted)
            rows_.erase(found);
        else
            rows_[it.key] = it;
        changed.push_back(std::move(it));
    }
    return changed;
}

void table_follower::on_success(kernel::store_position const& answered)
{
    if (!std::exchange(reachable_, true))
        report_contact(true, {}, answered);
}

void table_follower::report_contact(bool reachable, std::string const& reason,
                                    kernel::store_position const& answered)
{
    auto const call_time =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() -
                                                              last_call_at_);
    listener_.on_contact_change({reachable, reason, call_time, requested_wait_,
                                 last_failed_call_, answered});
}

void table_follower::on_error(feed_error const& error)
{
    report_unnamed(error.era_reason);
    if (error.era != 0 && error.era < newest_era_)
        return on_older_answer(error.era);
    auto const lost = error.why == feed_error::reason::history_lost;
    if (!lost)
        last_failed_call_ = last_call_at_;
    if (!lost && std::exchange(reachable_, false))
        report_contact(false, error.message, {});
    if (error.era > newest_era_ && loaded_)
        return read_restored_table(error.era);
    newest_era_ = std::max(newest_era_, error.era);
    if (!lost)
        return retry_later();
    needs_full_read_ = true;
    read_all();
}

void table_follower::retry_later()
{
    backoff_ = std::clamp(backoff_ * 2, options_.initial_backoff,
                          options_.max_backoff);
    retry_after(kernel::half_jitter(backoff_, random_));
}

/// A call that waits for changes would show that the store is back only with
/// the next change.
void table_follower::retry_after(std::chrono::milliseconds delay)
{
    timer_.expires_after(delay);
    timer_.async_wait(
        [self = shared_from_this(), number = last_call_](std::error_code ec)
        {
            if (ec || !self->accepts(number))
                return;
            if (self->needs_full_read_)
                self->read_all();
            else
                self->request_changes(std::chrono::milliseconds(0));
        });
}

} // namespace endiveward::follower
