#include "follower/table_follower.hpp"

#include "follower/i_table_listener.hpp"
#include "kernel/half_jitter.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace endiveward::follower
{

using storage::feed_error;
using storage::row_batch;
using storage::table_row;

table_follower::table_follower(asio::io_context& context,
                               storage::i_row_feed& feed,
                               kernel::i_random_source& random,
                               i_table_listener& listener,
                               follower_options options)
    : feed_(feed)
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
                   [self = shared_from_this()](auto res)
                   {
                       if (!self->stopped_)
                           self->on_full_read(std::move(res));
                   });
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
        [self = shared_from_this()](std::error_code ec)
        {
            if (ec || self->stopped_ || !std::exchange(self->in_period_, false))
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
    feed_.wait_for_changes(options_.table, position_, wait,
                           wait + options_.response_timeout,
                           [self = shared_from_this()](auto res)
                           {
                               if (!self->stopped_)
                                   self->on_changes(std::move(res));
                           });
}

void table_follower::on_full_read(storage::i_row_feed::batch_result res)
{
    if (auto const* error = std::get_if<feed_error>(&res))
        return on_error(*error);
    on_success();
    auto& batch = std::get<row_batch>(res);
    // A stale answer may lack rows that are already known.
    if (batch.position < position_)
        return next_call();
    std::set<std::string> present;
    for (auto const& it : batch.rows)
        present.insert(it.key);
    for (auto const& [key, it] : rows_)
    {
        if (!present.contains(key) && it.position <= batch.position)
            batch.rows.push_back({key, {}, batch.position, true});
    }
    needs_full_read_ = false;
    position_ = batch.position;
    listener_.on_rows(merge_rows(std::move(batch.rows)), position_);
    next_call();
}

void table_follower::on_changes(storage::i_row_feed::batch_result res)
{
    if (auto const* error = std::get_if<feed_error>(&res))
        return on_error(*error);
    on_success();
    auto& batch = std::get<row_batch>(res);
    position_ = std::max(position_, batch.position);
    auto const changed = merge_rows(std::move(batch.rows));
    if (changed.empty())
        return next_call();
    listener_.on_rows(changed, position_);
    timer_.expires_after(options_.coalescing_delay);
    timer_.async_wait(
        [self = shared_from_this()](std::error_code ec)
        {
            if (!ec && !self->stopped_)
                self->next_call();
        });
}

void table_follower::merge(std::vector<table_row> const& rows)
{
    // Rows that are not newer than the last read are already known; one that is
    // absent here was deleted and must not be restored.
    std::vector<table_row> newer;
    for (auto const& it : rows)
    {
        if (it.position > position_)
            newer.push_back(it);
    }
    auto const changed = merge_rows(std::move(newer));
    if (!changed.empty())
        listener_.on_rows(changed, position_);
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

void table_follower::on_success()
{
    backoff_ = std::chrono::milliseconds(0);
    if (!std::exchange(reachable_, true))
        listener_.on_reachability_change(true, {});
}

void table_follower::on_error(feed_error const& error)
{
    if (error.why == feed_error::reason::history_lost)
    {
        needs_full_read_ = true;
        return read_all();
    }
    if (std::exchange(reachable_, false))
        listener_.on_reachability_change(false, error.message);
    backoff_ = std::clamp(backoff_ * 2, options_.initial_backoff,
                          options_.max_backoff);
    timer_.expires_after(kernel::half_jitter(backoff_, random_));
    timer_.async_wait(
        [self = shared_from_this()](std::error_code ec)
        {
            if (ec || self->stopped_)
                return;
            if (self->needs_full_read_)
                self->read_all();
            else
                self->wait_for_changes();
        });
}

} // namespace endiveward::follower
