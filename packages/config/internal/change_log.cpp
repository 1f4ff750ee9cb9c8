#include "config/change_log.hpp"

#include "config/apply_change.hpp"
#include "config/config_json.hpp"
#include "config/configuration.hpp"
#include "config/log_era.hpp"
#include "storage/i_object_store.hpp"
#include "storage/i_table.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

namespace endiveward::config
{

namespace
{

kernel::error make_error(kernel::error_kind kind, kernel::run_state run,
                         std::string message)
{
    return {kind, std::move(message), run, std::nullopt};
}

kernel::error outcome_unknown_error(change const& candidate)
{
    return make_error(kernel::error_kind::outcome_unknown,
                      kernel::run_state::unknown,
                      fmt::format("the store did not confirm change {}; repeat "
                                  "it with the same change id",
                                  candidate.id));
}

/// Calls `start` with a handler and blocks until the handler is called.
template <typename T, typename Start>
kernel::result<T> await(Start const& start)
{
    auto const promise = std::make_shared<std::promise<kernel::result<T>>>();
    start([promise](kernel::result<T> res)
          { promise->set_value(std::move(res)); });
    return promise->get_future().get();
}

} // namespace

kernel::error to_error(change_conflict const& conflict)
{
    return make_error(
        kernel::error_kind::conflict, kernel::run_state::not_run,
        fmt::format("{} was changed at version {} by change {} of {} (you saw "
                    "version {}); read it again and repeat your change",
                    conflict.object, conflict.committed_change.version,
                    conflict.committed_change.id,
                    conflict.committed_change.author, conflict.seen));
}

/// State of one call of `commit`.
struct change_log::commit_attempt
{
    change const& candidate;
    /// Whether a submission, perhaps of an earlier call, has an unknown
    /// outcome: it may have committed or may still do so.
    bool maybe_submitted = false;
    std::optional<storage::table_transaction> transaction;
    /// Head version that `transaction` requires.
    kernel::config_version base = 0;
};

change_log::change_log(std::shared_ptr<storage::i_table> table,
                       std::shared_ptr<storage::i_object_store> objects,
                       change_log_options options)
    : table_(std::move(table))
    , objects_(std::move(objects))
    , options_(std::move(options))
    , reader_(table_, objects_, options_.timeout)
{
    if (!options_.sleep)
        options_.sleep = [](auto duration)
        { std::this_thread::sleep_for(duration); };
}

config_data const& change_log::data() const
{
    return *state_.compiled()->data();
}

kernel::result<std::shared_ptr<configuration const>> change_log::catch_up()
{
    for (;;)
    {
        auto const known = state_.compiled()->version();
        auto const res = await<change_log_read_result>(
            [&](auto on_done) { reader_.read(known, std::move(on_done)); });
        if (!kernel::ok(res))
            return kernel::failure(res);
        auto const& read_result = kernel::value(res);
        // A stale read must not replace the head by an older one.
        if (read_result.head && (!head_ || read_result.era > head_era_ ||
                                 read_result.head->version > head_->version))
        {
            head_ = read_result.head;
            head_era_ = read_result.era;
        }
        if (!read_result.update)
            return state_.compiled();
        index_changes(*read_result.update);
        if (auto const applied = state_.apply(*read_result.update);
            !kernel::ok(applied))
            return kernel::failure(applied);
        if (state_.compiled()->version() >= read_result.head_version)
            return state_.compiled();
    }
}

void change_log::index_changes(wire::config_update const& update)
{
    if (update.snapshot)
    {
        log_start_ = update.to_version;
        return;
    }
    auto version = update.from_version;
    for (auto const& it : nlohmann::json::parse(update.body, nullptr, false))
        if (++version; it.is_object() && it.contains("id"))
            logged_versions_[it.value("id", "")] = version;
}

bool change_log::is_current() const
{
    auto const head = head_ ? parse_version(head_->value) : 0;
    return head == data().version;
}

change change_log::prepare(std::string id, std::string author,
                           std::vector<change_operation> operations) const
{
    change res{std::move(id), std::move(author), std::move(operations), {}};
    for (auto const& it : affected_objects(res))
        res.seen[it] = object_version(data(), it);
    return res;
}

storage::table_transaction
change_log::make_transaction(change const& candidate) const
{
    auto const next = data().version + 1;
    return {{{head_key(), head_ ? head_->version : 0},
             {change_key(candidate.id), 0}},
            {{head_key(), std::to_string(next)},
             {log_key(next), to_json(candidate).dump()},
             {change_key(candidate.id), std::to_string(next)}}};
}

std::optional<change_conflict>
change_log::find_conflict(change const& candidate) const
{
    // A version older than the one the author saw is a stale read, not a
    // conflict.
    for (auto const& [object, seen] : candidate.seen)
        if (auto const it = data().last_changes.find(object);
            it != data().last_changes.end() && it->second->version > seen)
            return change_conflict{object, seen, *it->second};
    return std::nullopt;
}

kernel::result<std::optional<change_committed>>
change_log::find_committed(change const& candidate)
{
    if (auto const it = logged_versions_.find(candidate.id);
        it != logged_versions_.end())
        return std::optional<change_committed>(change_committed{it->second});
    auto const res = await<std::optional<storage::row>>(
        [&](auto on_done)
        {
            table_->read(change_key(candidate.id), options_.timeout,
                         std::move(on_done));
        });
    if (!kernel::ok(res))
        return kernel::failure(res);
    auto const& row = kernel::value(res);
    if (!row)
        return std::optional<change_committed>();
    return std::optional<change_committed>(
        change_committed{parse_version(row->value).value_or(0)});
}

kernel::result<kernel::done> change_log::validate(change const& candidate) const
{
    auto copy = data();
    return apply_change(copy, candidate);
}

kernel::result<commit_outcome> change_log::commit(change const& candidate,
                                                  bool repeated)
{
    auto const invalid = [](std::string message)
    {
        return make_error(kernel::error_kind::invalid_request,
                          kernel::run_state::not_run, std::move(message));
    };
    if (candidate.id.empty() || candidate.author.empty() ||
        candidate.operations.empty())
        return invalid("a change needs an id, an author and operations");
    for (auto const& it : affected_objects(candidate))
        if (!candidate.seen.contains(it))
            return invalid(fmt::format("the change lacks the version of {} "
                                       "that its author saw",
                                       it));
    commit_attempt state{candidate, repeated, std::nullopt, 0};
    for (std::size_t i = 0; i < options_.max_rounds; ++i)
        if (auto res = run_round(state))
            return *res;
    if (state.maybe_submitted)
        return outcome_unknown_error(candidate);
    return make_error(kernel::error_kind::store_unavailable,
                      kernel::run_state::not_run,
                      "the store did not accept the change; repeat it later");
}

std::optional<kernel::result<commit_outcome>>
change_log::run_round(commit_attempt& state)
{
    using outcome = kernel::result<commit_outcome>;

    // If the head is newer than the log read so far, the read of the log was
    // stale; a transaction based on both would overwrite a log row.
    if (!kernel::ok(catch_up()) || !is_current())
        return pause();
    if (needs_new_era())
    {
        begin_era();
        return pause();
    }
    auto const found = find_committed(state.candidate);
    if (!kernel::ok(found))
        return pause();
    if (auto const& committed = kernel::value(found))
    {
        after_commit(committed->version);
        return outcome(*committed);
    }
    // A transaction whose required head has been replaced can no longer commit,
    // and the log row at its version shows that it has not. A missing change-id
    // row alone does not prove this, because that read may be stale.
    if (data().version > state.base)
        state.transaction.reset();
    if (state.transaction)
        return submit(state);
    // After a snapshot, the log row that would show an earlier submission is no
    // longer read. Submitting again is safe even then, because the transaction
    // requires that the change id is absent, but reporting the change as not
    // committed is not.
    bool const submission_hidden =
        state.maybe_submitted && log_start_ > state.base;
    if (auto const conflict = find_conflict(state.candidate))
        return submission_hidden
                   ? outcome(outcome_unknown_error(state.candidate))
                   : outcome(*conflict);
    if (is_stale(state.candidate))
        return pause();
    if (auto const res = validate(state.candidate); !kernel::ok(res))
        return outcome(submission_hidden
                           ? outcome_unknown_error(state.candidate)
                           : kernel::failure(res));
    state.transaction = make_transaction(state.candidate);
    state.base = data().version;
    return submit(state);
}

bool change_log::needs_new_era() const
{
    return data().version < base_version(table_->era());
}

/// Goes on with the log at the base version of the table's era. Processes that
/// hold changes which the restored table lacks then take the snapshot at that
/// version instead of other changes with the same versions.
void change_log::begin_era()
{
    if (!std::exchange(waited_for_write_back_, true))
        return options_.sleep(options_.write_back_time);
    auto next = data();
    next.version = base_version(table_->era());
    auto const pointer = await<std::optional<storage::row>>(
        [&](auto on_done) {
            table_->read(snapshot_row_key(), options_.timeout,
                         std::move(on_done));
        });
    if (!kernel::ok(pointer) || !put_snapshot(next))
        return;
    auto const& row = kernel::value(pointer);
    auto const version = std::to_string(next.version);
    // The result is ignored: the next round reads the head again.
    await<storage::transaction_outcome>(
        [&](auto on_done)
        {
            table_->commit(
                {{{head_key(), head_ ? head_->version : 0},
                  {snapshot_row_key(), row ? row->version : 0}},
                 {{head_key(), version}, {snapshot_row_key(), version}}},
                options_.timeout, std::move(on_done));
        });
}

bool change_log::is_stale(change const& candidate) const
{
    return std::any_of(candidate.seen.begin(), candidate.seen.end(),
                       [&](auto const& it)
                       { return it.second > data().version; });
}

std::optional<kernel::result<commit_outcome>> change_log::pause()
{
    options_.sleep(options_.retry_delay);
    return std::nullopt;
}

std::optional<kernel::result<commit_outcome>>
change_log::submit(commit_attempt& state)
{
    auto const res = await<storage::transaction_outcome>(
        [&](auto on_done) {
            table_->commit(*state.transaction, options_.timeout,
                           std::move(on_done));
        });
    if (!kernel::ok(res))
    {
        state.maybe_submitted |=
            kernel::failure(res).run != kernel::run_state::not_run;
        return pause();
    }
    if (kernel::value(res).committed)
    {
        change_committed const committed{state.base + 1};
        after_commit(committed.version);
        return kernel::result<commit_outcome>(committed);
    }
    return std::nullopt;
}

void change_log::after_commit(kernel::config_version version)
{
    // The change is already committed. Steps that fail here are repeated by
    // later changes.
    if (!kernel::ok(catch_up()) || version == 0)
        return;
    if (version % options_.snapshot_interval == 0)
        write_snapshot();
}

bool change_log::put_snapshot(config_data const& data)
{
    return kernel::ok(await<kernel::done>(
        [&](auto on_done)
        {
            objects_->put(snapshot_object_key(data.version),
                          to_json(data).dump(), options_.timeout,
                          std::move(on_done));
        }));
}

void change_log::write_snapshot()
{
    auto const current = state_.compiled();
    auto const version = current->version();
    if (!put_snapshot(*current->data()))
        return;
    auto const pointer = await<std::optional<storage::row>>(
        [&](auto on_done) {
            table_->read(snapshot_row_key(), options_.timeout,
                         std::move(on_done));
        });
    if (!kernel::ok(pointer))
        return;
    auto const& row = kernel::value(pointer);
    if (row && parse_version(row->value).value_or(0) >= version)
        return;
    auto const pointer_updated = await<storage::transaction_outcome>(
        [&](auto on_done)
        {
            table_->commit({{{snapshot_row_key(), row ? row->version : 0}},
                            {{snapshot_row_key(), std::to_string(version)}}},
                           options_.timeout, std::move(on_done));
        });
    if (kernel::ok(pointer_updated) && kernel::value(pointer_updated).committed)
        trim_log(version);
}

void change_log::trim_log(kernel::config_version snapshot)
{
    if (snapshot <= options_.retained_log_rows)
        return;
    storage::table_transaction transaction;
    auto const last = snapshot - options_.retained_log_rows;
    auto const first = last > options_.snapshot_interval
                           ? last - options_.snapshot_interval
                           : 0;
    for (auto it = first + 1; it <= last; ++it)
        transaction.writes.push_back({log_key(it), std::nullopt});
    // The result is ignored: rows that are not deleted only take up space.
    await<storage::transaction_outcome>(
        [&](auto on_done)
        {
            table_->commit(std::move(transaction), options_.timeout,
                           std::move(on_done));
        });
}

} // namespace endiveward::config
