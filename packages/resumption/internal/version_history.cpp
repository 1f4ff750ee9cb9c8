#include "resumption/version_history.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace endiveward::resumption
{

// Load patterns:
// - All routers are killed at a release: the rows tell those that start at
//   which versions streams can have begun. So a row is written before the
//   first request goes to an endpoint with its version.
// - Routers list a new version together, and start together: they write at
//   different times, and one that hears from another one does not write.
// - All endpoints of a service are replaced while routers are down: nothing
//   else serves meanwhile, so that routers write sooner.
// - Engines restart together: their version is missing for some seconds and
//   comes back. It is marked as gone only after these.
// - The store is restored from a copy: routers write again what they know.
// - A router is cut off from the others or stands still while endpoints of a
// new
//   version join: it does not hear of their row, and its list may be old. When
//   a stream of unknown origin is taken up there, it reads the table first.

namespace
{

using std::chrono::milliseconds;
using storage::table_row;
using storage::table_transaction;

/// First writes of routers that see a version come or go at the same time are
/// spread over this time. A notice takes about 100 ms through the store and
/// agents, so that one or two of 28 routers write.
constexpr milliseconds write_spread{1500};
/// As above, if no other endpoint of the service can serve.
constexpr milliseconds urgent_spread{300};
/// A store that takes no writes must not keep a service from serving.
constexpr milliseconds max_withheld{2000};
/// Restarting endpoints are listed again within this time.
constexpr milliseconds mark_delay{10000};
/// A version that comes back counts for at least 30 s (the shortest lifetime of
/// streams) after it was marked as gone; it is recorded anew well before.
constexpr milliseconds max_stale_mark{15000};
/// The longest time for which streams may be taken up, and some more.
constexpr milliseconds row_retention{std::chrono::minutes(65)};
/// A row that another router has written is explained by the own list or the
/// table. Routers collect changes of the list for up to 2 s.
constexpr milliseconds explain_time{5000};
constexpr std::size_t max_unexplained = 1024;
constexpr milliseconds first_backoff{500};
constexpr milliseconds max_backoff{8000};
/// The store accepts 100 entries in a transaction; each row takes two.
constexpr std::size_t max_rows = 40;

std::uint32_t short_hash(std::string_view text, std::uint64_t seed)
{
    return static_cast<std::uint32_t>(
        XXH3_64bits_withSeed(text.data(), text.size(), seed));
}

milliseconds steady_ms(kernel::steady_time at)
{
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch());
}

} // namespace

version_history::version_history(bool first_start, double share)
    : first_start_(first_start)
    , share_(share)
{
}

void version_history::set_services(std::set<kernel::service_id> services)
{
    services_ = std::move(services);
}

void version_history::on_listed(listing const& current, kernel::steady_time now)
{
    for (auto& [name, it] : entries_)
    {
        if (it.listed == current.contains(name))
            continue;
        it.used = it.used || (it.listed && services_.contains(name.first) &&
                              now - it.seen >= max_withheld);
        it.listed = !it.listed;
        it.seen = now;
    }
    for (auto const& name : current)
        add(name, now).listed = true;
    std::erase_if(
        entries_, [](auto const& it)
        { return !it.second.listed && !it.second.row && !it.second.used; });
}

version_history::entry& version_history::add(id const& name,
                                             kernel::steady_time now)
{
    auto& res = entries_[name];
    if (!res.listed && !res.row && !res.used)
        res.seen = now;
    // Another router may have listed and recorded it before this one.
    for (auto const& it : unexplained_)
    {
        if (it.notice.key == notice_key(name))
            apply(name, res, it.notice, now);
    }
    std::erase_if(unexplained_, [&](auto const& it)
                  { return it.notice.key == notice_key(name); });
    return res;
}

void version_history::on_era(std::uint64_t era, kernel::steady_time now)
{
    if (era <= era_ || !loaded_)
        return;
    era_ = era;
    read_at_ = now + std::chrono::duration_cast<milliseconds>(
                         write_spread * std::sqrt(share_));
}

bool version_history::confirm(kernel::steady_time now)
{
    if (!out_of_step_at_)
        return false;
    confirm_from_ = now;
    return true;
}

bool version_history::needs_read(kernel::steady_time now) const
{
    if (now < retry_at_)
        return false;
    return (read_at_ && *read_at_ <= now) || confirm_from_ ||
           std::any_of(unexplained_.begin(), unexplained_.end(),
                       [&](auto const& it)
                       { return now - it.arrived >= explain_time; });
}

void version_history::on_read(storage::row_batch const& batch,
                              kernel::steady_time now)
{
    loaded_ = true;
    read_at_.reset();
    known_until_ = read_begun_;
    if (out_of_step_at_ && *out_of_step_at_ <= read_begun_)
        out_of_step_at_.reset();
    // One that was asked for meanwhile needs another read.
    if (confirm_from_ && *confirm_from_ <= read_begun_)
        confirm_from_.reset();
    backoff_ = milliseconds(0);
    era_ = batch.position.era;
    store_offset_ = batch.store_time - steady_ms(now);
    start_version_ = 0;
    for (auto& [name, it] : entries_)
        it.row_version = 0;
    for (auto const& row : batch.rows)
    {
        if (row.key == record_start_key)
            replace_start(&row);
        else if (auto const it = decode_version_row(row.value))
        {
            // This router sees its absence from now on.
            replace(add({it->service, it->software}, now), &row);
        }
    }
    if (!start_)
        start_ = first_start_ ? record_start() : record_start{store_time(now)};
    std::erase_if(unexplained_,
                  [&](auto const& it) { return it.arrived < read_begun_; });
}

void version_history::replace(entry& it, table_row const* row)
{
    it.row_version = row == nullptr ? 0 : row->position.version;
    if (row == nullptr)
        return;
    // One that cannot be read is replaced.
    if (auto const known = decode_version_row(row->value))
        it.row = known;
}

void version_history::replace_start(table_row const* row)
{
    start_version_ = row == nullptr ? 0 : row->position.version;
    if (row == nullptr)
        return;
    if (auto const known = decode_record_start(row->value))
        start_ = known;
}

/// The row that the store should have; none if it needs no change.
std::optional<version_row> version_history::wanted(id const& name,
                                                   entry const& it) const
{
    if (!it.row && !it.used && !(it.listed && services_.contains(name.first)))
        return std::nullopt;
    auto res = it.row.value_or(
        version_row{name.first, name.second, store_time(it.seen), {}});
    if (it.listed)
        res.gone.reset();
    else if (!res.gone)
        res.gone = store_time(it.seen);
    return it.row_version > 0 && res == it.row ? std::nullopt
                                               : std::optional(res);
}

kernel::steady_time version_history::due(id const& name, entry const& it) const
{
    auto const res = it.seen + delay(name.first);
    return it.listed || !it.row ? res : res + mark_delay;
}

/// Few processes have a short delay, so that the first one is heard before the
/// next one writes.
milliseconds version_history::delay(kernel::service_id const& service) const
{
    auto const can_serve = std::any_of(entries_.begin(), entries_.end(),
                                       [&](auto const& it)
                                       {
                                           return it.first.first == service &&
                                                  it.second.listed &&
                                                  it.second.row_version > 0;
                                       });
    auto const spread =
        can_serve || start_version_ == 0 ? write_spread : urgent_spread;
    return std::chrono::duration_cast<milliseconds>(spread * std::sqrt(share_));
}

std::optional<table_transaction> version_history::next(kernel::steady_time now)
{
    if (!loaded_ || read_at_ || now < retry_at_)
        return std::nullopt;
    table_transaction res;
    in_flight_.clear();
    written_.clear();
    auto const is_due = [&](id const& name, entry const& it)
    { return due(name, it) <= now; };
    if (std::none_of(entries_.begin(), entries_.end(),
                     [&](auto const& it) {
                         return wanted(it.first, it.second) &&
                                is_due(it.first, it.second);
                     }))
        return std::nullopt;
    // Whatever else is wanted is written at once.
    for (auto const& [name, it] : entries_)
    {
        auto const row = wanted(name, it);
        if (!row || (!it.listed && !is_due(name, it)) ||
            written_.size() >= max_rows)
            continue;
        auto const key = row_key(name.first, name.second);
        res.conditions.push_back({key, it.row_version});
        res.writes.push_back({key, encode(*row)});
        in_flight_.push_back(name);
        written_.emplace(name, *row);
    }
    if (start_version_ == 0)
    {
        res.conditions.push_back({record_start_key, 0});
        res.writes.push_back({record_start_key, encode(*start_)});
    }
    remove_outdated(res, now);
    return res;
}

/// Rows are removed with others that are written, which costs no call.
void version_history::remove_outdated(table_transaction& res,
                                      kernel::steady_time now)
{
    for (auto const& [name, it] : entries_)
    {
        if (it.listed || !it.row || !it.row->gone || it.row_version == 0 ||
            now - local_time(*it.row->gone) < row_retention ||
            in_flight_.size() >= max_rows)
            continue;
        auto const key = row_key(name.first, name.second);
        res.conditions.push_back({key, it.row_version});
        res.writes.push_back({key, std::nullopt});
        in_flight_.push_back(name);
    }
}

void version_history::on_committed(kernel::store_position const& position,
                                   kernel::steady_time now)
{
    backoff_ = milliseconds(0);
    if (start_version_ == 0)
        start_version_ = position.version;
    for (auto const& name : in_flight_)
    {
        auto const written = written_.find(name);
        if (written == written_.end())
        {
            entries_.erase(name);
            continue;
        }
        auto& it = add(name, now);
        it.row = written->second;
        it.row_version = position.version;
        auto const value = static_cast<double>(position.version);
        notices_.push_back({notice_key(name), it.row->gone ? -value : value});
    }
    in_flight_.clear();
    on_era(position.era, now);
}

void version_history::on_conflict(std::vector<table_row> const& rows,
                                  kernel::steady_time now)
{
    auto const find = [&](std::string const& key) -> table_row const*
    {
        auto const found = std::find_if(
            rows.begin(), rows.end(),
            [&](auto const& it) { return it.key == key && !it.deleted; });
        return found == rows.end() ? nullptr : &*found;
    };
    for (auto const& name : std::exchange(in_flight_, {}))
    {
        auto const* const row = find(row_key(name.first, name.second));
        if (row != nullptr || entries_.contains(name))
            replace(add(name, now), row);
        // Another router has removed it.
        if (row == nullptr && !written_.contains(name))
            entries_.erase(name);
    }
    if (start_version_ == 0)
        replace_start(find(record_start_key));
}

void version_history::on_failed(kernel::steady_time now)
{
    in_flight_.clear();
    // Nobody waits until the next attempt.
    confirm_from_.reset();
    backoff_ = std::clamp(2 * backoff_, first_backoff, max_backoff);
    retry_at_ =
        now + std::chrono::duration_cast<milliseconds>(backoff_ * (1 + share_));
}

void version_history::on_notice(version_notice const& notice,
                                kernel::steady_time now)
{
    auto const found = std::find_if(
        entries_.begin(), entries_.end(),
        [&](auto const& it) { return notice_key(it.first) == notice.key; });
    if (found != entries_.end())
        return apply(found->first, found->second, notice, now);
    if (std::none_of(unexplained_.begin(), unexplained_.end(),
                     [&](auto const& it) { return it.notice == notice; }) &&
        unexplained_.size() < max_unexplained)
        unexplained_.push_back({notice, now});
}

void version_history::apply(id const& name, entry& it,
                            version_notice const& notice,
                            kernel::steady_time now)
{
    auto const version =
        static_cast<std::uint64_t>(std::abs(notice.row_version));
    if (version <= it.row_version)
        return;
    it.row_version = version;
    if (!it.row)
        it.row = version_row{name.first, name.second, store_time(now), {}};
    it.row->gone.reset();
    if (notice.row_version < 0)
        it.row->gone = store_time(now);
    // It was written with the first row.
    if (start_version_ == 0)
        start_version_ = version;
}

std::vector<version_notice> version_history::take_notices()
{
    return std::exchange(notices_, {});
}

bool version_history::may_send(kernel::service_id const& service,
                               kernel::software_version const& software,
                               kernel::steady_time now) const
{
    if (!services_.contains(service))
        return true;
    auto const found = entries_.find({service, software});
    if (found == entries_.end())
        return true;
    auto const& it = found->second;
    if (now - it.seen >= max_withheld)
        return true;
    return loaded_ && it.row && it.row_version > 0 &&
           (!it.row->gone || now - local_time(*it.row->gone) < max_stale_mark);
}

recorded_versions version_history::snapshot(kernel::steady_time now) const
{
    recorded_versions res;
    if (out_of_step_at_)
        res.known_until = known_until_;
    for (auto const& [name, it] : entries_)
    {
        std::optional<kernel::steady_time> gone;
        if (!it.listed)
            gone = it.row && it.row->gone ? local_time(*it.row->gone) : it.seen;
        res.items.push_back({name.first, name.second, gone});
    }
    if (loaded_)
        res.complete_since = start_->since
                                 ? std::min(now, local_time(*start_->since))
                                 : kernel::steady_time::min();
    for (auto const& service : services_)
    {
        auto const hash = short_hash(service.str(), 0);
        if (std::any_of(unexplained_.begin(), unexplained_.end(),
                        [&](auto const& it)
                        { return it.notice.key >> 32 == hash; }))
            res.outdated.insert(service);
    }
    return res;
}

std::uint64_t version_history::notice_key(id const& name) const
{
    return std::uint64_t{short_hash(name.first.str(), 0)} << 32 |
           short_hash(row_key(name.first, name.second), era_);
}

milliseconds version_history::store_time(kernel::steady_time at) const
{
    return steady_ms(at) + store_offset_;
}

kernel::steady_time version_history::local_time(milliseconds at) const
{
    return kernel::steady_time(at - store_offset_);
}

} // namespace endiveward::resumption
