#include "follower/cluster_view.hpp"

#include "follower/i_cluster_observer.hpp"
#include "follower/i_entry_decoder.hpp"
#include "gateway/routing_table.hpp"
#include "observe/decision_log.hpp"

#include <algorithm>

namespace endiveward::follower
{

namespace
{

/// The same content may be written again, after the store was restored.
void keep_newer(storage::table_row& known, storage::table_row const& row)
{
    if (row.position > known.position)
        known = row;
}

} // namespace

class cluster_view::operators_listener : public i_table_listener
{
public:
    explicit operators_listener(cluster_view& view)
        : view_(view)
    {
    }

    void on_rows(std::vector<storage::table_row> const& changed,
                 kernel::store_position const& position) override
    {
        for (auto const& it : changed)
        {
            if (!it.deleted)
                view_.on_operator_row(it, position.era);
        }
        // Rows that another process has passed on come without a position
        // until the table has been read.
        if (position != kernel::store_position())
            view_.operator_rows_known_ = true;
    }

    // The operator's own versions rise over a restore, so that the content
    // decides as it does for changes.
    void on_restored_rows(std::vector<storage::table_row> const& rows,
                          kernel::store_position const& position) override
    {
        view_.log_.write("store_restored",
                         "table=operators era={} row_version={} rows={}",
                         position.era, position.version, rows.size());
        on_rows(rows, position);
    }

    void on_era_notice(era_notice const& notice) override
    {
        view_.log_era("operators", notice);
    }

    void on_contact_change(contact_change const& change) override
    {
        view_.log_contact("operators", change);
    }

private:
    cluster_view& view_;
};

class cluster_view::endpoints_listener : public i_table_listener
{
public:
    explicit endpoints_listener(cluster_view& view)
        : view_(view)
    {
    }

    void on_rows(std::vector<storage::table_row> const& changed,
                 kernel::store_position const&) override
    {
        view_.on_endpoint_rows(changed);
    }

    void on_restored_rows(std::vector<storage::table_row> const& rows,
                          kernel::store_position const& position) override
    {
        view_.on_restored_endpoints(rows, position);
    }

    void on_era_notice(era_notice const& notice) override
    {
        view_.log_era("endpoints", notice);
    }

    void on_contact_change(contact_change const& change) override
    {
        view_.on_endpoints_contact_change(change);
    }

private:
    cluster_view& view_;
};

cluster_view::cluster_view(asio::io_context& context,
                           kernel::i_clock const& clock,
                           i_entry_decoder const& decoder,
                           i_cluster_observer& observer,
                           observe::decision_log& log,
                           removal_hold_options hold)
    : clock_(clock)
    , decoder_(decoder)
    , observer_(observer)
    , log_(log)
    , operators_(std::make_unique<operators_listener>(*this))
    , endpoints_(std::make_unique<endpoints_listener>(*this))
    , expiry_timer_(context)
    , hold_(hold)
    , restored_(clock)
    , release_timer_(context)
{
}

cluster_view::~cluster_view() = default;

i_table_listener& cluster_view::operator_rows_listener()
{
    return *operators_;
}

i_table_listener& cluster_view::endpoint_rows_listener()
{
    return *endpoints_;
}

bool cluster_view::complete() const
{
    return config_version_ != 0 && endpoints_known_;
}

void cluster_view::log_era(char const* table, era_notice const& notice)
{
    switch (notice.what)
    {
    case era_notice::kind::newer:
        // Eras rise by one; more than that is a restore that was missed or an
        // answer that is wrong.
        log_.write("store_era", "table={} known={} named={} skipped={}", table,
                   notice.known, notice.named,
                   notice.known != 0 ? notice.named - notice.known - 1 : 0);
        break;
    case era_notice::kind::older:
        log_.write("store_answer_outdated", "table={} known={} named={}", table,
                   notice.known, notice.named);
        break;
    case era_notice::kind::unnamed:
        log_.write("store_era_unnamed", "table={} known={} reason=\"{}\"",
                   table, notice.known, notice.reason);
        break;
    }
}

std::vector<storage::table_row> cluster_view::operator_rows_in_force() const
{
    std::vector<storage::table_row> res;
    if (config_version_ != 0)
        res.push_back(config_row_);
    for (auto const& [model, it] : targets_)
        res.push_back(it.row);
    return res;
}

void cluster_view::on_operator_row(storage::table_row const& row,
                                   std::uint64_t era)
{
    auto decoded = decoder_.decode_operator_row(row.key, row.value);
    if (!kernel::ok(decoded))
    {
        log_.write("entry_ignored",
                   "table=operators key={} row_version={} "
                   "reason=\"{}\"",
                   row.key, row.position.version,
                   kernel::failure(decoded).message);
        return;
    }
    std::visit(
        kernel::overloaded{
            [&](gateway::routing_config& config)
            {
                if (config.version == config_version_)
                    return keep_newer(config_row_, row);
                if (config.version < config_version_)
                    return;
                config_version_ = config.version;
                config_row_ = row;
                observer_.on_configuration(
                    std::make_shared<gateway::routing_table const>(
                        std::move(config)));
            },
            [&](weights::model_target const& target)
            {
                auto& known = targets_[target.model];
                if (target.version == known.version)
                    return keep_newer(known.row, row);
                if (target.version < known.version)
                    return;
                known = {target.version, row};
                // A row of an earlier era was written some time before.
                auto const named_now =
                    operator_rows_known_ && row.position.era >= era;
                observer_.on_target(target, row,
                                    named_now ? std::optional(clock_.now())
                                              : std::nullopt);
            },
            [](unrelated_row) {}},
        kernel::value(decoded));
}

void cluster_view::on_endpoint_rows(std::vector<storage::table_row> const& rows)
{
    auto const now = clock_.now();
    for (auto const& it : rows)
    {
        expired_.erase(it.key);
        if (it.deleted)
        {
            auto const found = entries_.find(it.key);
            restored_.on_removed(
                it.key, found == entries_.end() ? nullptr : &found->second);
            if (found == entries_.end())
                continue;
            auto const held_until = found->second.draining
                                        ? std::nullopt
                                        : hold_.held_until(it.position, now);
            if (held_until)
                expired_[it.key] = *held_until;
            else
                entries_.erase(found);
            auto const hold_time =
                held_until
                    ? std::chrono::duration_cast<std::chrono::milliseconds>(
                          *held_until - now)
                    : std::chrono::milliseconds(0);
            log_.write("endpoint_removed",
                       "endpoint={} row_version={} held_back={} held_ms={}",
                       it.key, it.position.version, held_until.has_value(),
                       hold_time.count());
            continue;
        }
        restored_.on_changed(it.key);
        auto decoded = decoder_.decode_endpoint_row(it.key, it.value);
        if (kernel::ok(decoded))
        {
            auto const& entry = kernel::value(decoded);
            log_.write("endpoint_entry",
                       "endpoint={} incarnation={} service={} address={}:{} "
                       "software={} draining={} row_version={}",
                       it.key, entry.incarnation, entry.service.str(),
                       entry.host, entry.port, entry.software.str(),
                       entry.draining, it.position.version);
            entries_[it.key] = entry;
            continue;
        }
        // An endpoint with an unreadable entry must not be used.
        entries_.erase(it.key);
        log_.write("entry_ignored",
                   "table=endpoints key={} row_version={} "
                   "reason=\"{}\"",
                   it.key, it.position.version,
                   kernel::failure(decoded).message);
    }
    endpoints_known_ = true;
    plan_expiry();
    publish_endpoints();
}

void cluster_view::plan_expiry()
{
    if (expired_.empty())
        return;
    auto const first = std::min_element(expired_.begin(), expired_.end(),
                                        [](auto const& a, auto const& b)
                                        { return a.second < b.second; });
    expiry_timer_.expires_after(first->second - clock_.now());
    expiry_timer_.async_wait(
        [this](std::error_code ec)
        {
            if (!ec)
                remove_expired();
        });
}

/// The first full read of a new era. An entry of the copy may be older than
/// what this process knows; later changes are not.
void cluster_view::on_restored_endpoints(
    std::vector<storage::table_row> const& rows,
    kernel::store_position const& position)
{
    restored_entries::entry_map copy;
    for (auto const& it : rows)
    {
        auto decoded = decoder_.decode_endpoint_row(it.key, it.value);
        if (kernel::ok(decoded))
        {
            copy[it.key] = kernel::value(std::move(decoded));
            continue;
        }
        // An endpoint with an unreadable entry must not be used.
        entries_.erase(it.key);
        log_.write("entry_ignored",
                   "table=endpoints key={} row_version={} "
                   "reason=\"{}\"",
                   it.key, it.position.version,
                   kernel::failure(decoded).message);
    }
    expired_.clear();
    auto res = restored_.on_restored(entries_, copy);
    log_.write("store_restored",
               "table=endpoints era={} row_version={} rows={} entries={} "
               "held_draining={} held_removed={} held_missing={}",
               position.era, position.version, rows.size(), res.entries.size(),
               res.held_draining, res.held_removed, res.held_missing);
    entries_ = std::move(res.entries);
    endpoints_known_ = true;
    plan_release();
    publish_endpoints();
}

void cluster_view::plan_release()
{
    auto const due = restored_.next_release();
    if (!due)
        return;
    release_timer_.expires_after(*due - clock_.now());
    release_timer_.async_wait(
        [this](std::error_code ec)
        {
            if (!ec)
                release_held_entries();
        });
}

void cluster_view::release_held_entries()
{
    remove_expired();
    auto const released = restored_.release(entries_);
    plan_release();
    if (released == 0)
        return;
    log_.write("held_entries_released",
               "table=endpoints released={} entries={}", released,
               entries_.size());
    publish_endpoints();
}

void cluster_view::log_contact(char const* table, contact_change const& change)
{
    auto const since_failure =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            clock_.now() - change.last_failed_call);
    log_.write("store_contact",
               "table={} reachable={} call_ms={} wait_ms={} "
               "since_failed_call_ms={} {}",
               table, change.reachable, change.call_time.count(),
               change.requested_wait.count(), since_failure.count(),
               change.reason);
}

void cluster_view::on_endpoints_contact_change(contact_change const& change)
{
    log_contact("endpoints", change);
    hold_.on_contact_change(change, clock_.now());
}

void cluster_view::remove_expired()
{
    auto const now = clock_.now();
    auto const removed = std::erase_if(expired_,
                                       [&](auto const& it)
                                       {
                                           if (it.second > now)
                                               return false;
                                           entries_.erase(it.first);
                                           return true;
                                       });
    plan_expiry();
    if (removed > 0)
        publish_endpoints();
}

void cluster_view::publish_endpoints()
{
    observer_.on_endpoints(endpoint_list());
}

std::vector<gateway::endpoint_entry> cluster_view::endpoint_list() const
{
    std::vector<gateway::endpoint_entry> res;
    res.reserve(entries_.size());
    for (auto const& [key, it] : entries_)
        res.push_back(it);
    return res;
}

} // namespace endiveward::follower
