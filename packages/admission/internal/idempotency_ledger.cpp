#include "admission/idempotency_ledger.hpp"

#include "kernel/i_random_source.hpp"
#include "storage/i_table.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace endiveward::admission
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds retry_after_store_failure{1000};
constexpr milliseconds retry_after_unknown_outcome{1000};
// Version that the table assigns to a newly inserted row.
constexpr std::uint64_t first_row_version = 1;
// Era of a table that has never come back from a copy.
constexpr std::uint64_t first_era = 1;
constexpr std::size_t max_abandoned_attempts = 10'000;
constexpr std::size_t max_pending_retries = 10'000;
// Must be well below the retention period of claims: once a row has been
// deleted and inserted again, a repeated write could match the row of another
// attempt.
constexpr std::chrono::hours max_retry_age{1};
// Rows written earlier are in every copy from which the table comes back.
// Copies are some seconds old; the rest allows for the time until the restore
// is noticed.
constexpr std::chrono::minutes max_copy_age{1};

kernel::error store_unavailable()
{
    return {kernel::error_kind::store_unavailable,
            "the platform's table does not answer, so a request with an "
            "Idempotency-Key cannot be run safely; send it again after "
            "Retry-After",
            kernel::run_state::not_run, retry_after_store_failure};
}

kernel::error claims_incomplete(milliseconds remaining)
{
    return {kernel::error_kind::store_unavailable,
            "the platform's table came back from a copy, and claims that it "
            "lost are being written again; send the request again after "
            "Retry-After",
            kernel::run_state::not_run, remaining};
}

kernel::error key_reused()
{
    return {kernel::error_kind::key_reused,
            "the Idempotency-Key was used for another request; use a new key",
            kernel::run_state::not_run,
            {}};
}

kernel::error outcome_unknown()
{
    return {kernel::error_kind::outcome_unknown,
            "an earlier attempt with this Idempotency-Key may have run; ask "
            "again after Retry-After for its answer",
            kernel::run_state::unknown, retry_after_unknown_outcome};
}

kernel::error answer_not_kept()
{
    return {kernel::error_kind::outcome_unknown,
            "an earlier attempt with this Idempotency-Key ran, but its answer "
            "is too large to be kept; look up the result at the endpoint",
            kernel::run_state::ran,
            {}};
}

kernel::error deadline_exceeded()
{
    return {kernel::error_kind::deadline_exceeded,
            "the deadline passed before the request started; allow more time",
            kernel::run_state::not_run,
            {}};
}

bool is_valid_utf8(std::string const& body)
{
    // nlohmann-json throws when it serializes a string that is not valid UTF-8.
    try
    {
        return !nlohmann::json(body).dump().empty();
    }
    catch (nlohmann::json::exception const&)
    {
        return false;
    }
}

} // namespace

idempotency_ledger::idempotency_ledger(kernel::i_clock const& clock,
                                       kernel::i_random_source& random,
                                       storage::i_table& table,
                                       kernel::post_function post,
                                       idempotency_options options)
    : clock_(clock)
    , random_(random)
    , table_(table)
    , post_(std::move(post))
    , options_(std::move(options))
    , batcher_(table, post_, options_.table_timeout)
    , gate_(clock, table, post_, options_.table_timeout)
{
}

void idempotency_ledger::begin(kernel::workspace_id const& workspace,
                               std::string const& key,
                               kernel::hash128 const& request_hash,
                               kernel::steady_time deadline, handler on_done)
{
    begin_row(fmt::format("{}{}/{}", claim_prefix, workspace.str(), key),
              kernel::to_hex(request_hash), {deadline, std::move(on_done)});
}

void idempotency_ledger::begin_row(std::string const& row_key,
                                   std::string request_hash, waiter first)
{
    auto const it = entries_.find(row_key);
    if (it != entries_.end())
        return join(it->second, request_hash, std::move(first));
    if (!gate_.is_open())
        return post_(
            [handler = std::move(first.on_done), remaining = gate_.remaining()]
            { handler(claims_incomplete(remaining)); });
    entry fresh;
    fresh.attempt_id = make_attempt_id();
    fresh.request_hash = std::move(request_hash);
    fresh.era = table_.era();
    fresh.waiters.push_back(std::move(first));
    entries_.emplace(row_key, std::move(fresh));
    insert_row(row_key);
}

void idempotency_ledger::join(entry& found, std::string const& request_hash,
                              waiter next)
{
    if (found.request_hash != request_hash)
        return post_([handler = std::move(next.on_done)]
                     { handler(key_reused()); });
    switch (found.state)
    {
    case entry_state::claiming:
    case entry_state::running:
        found.waiters.push_back(std::move(next));
        return;
    case entry_state::done:
        if (found.answer)
            return post_(
                [handler = std::move(next.on_done), answer = *found.answer]
                { handler(claim_decision(answer)); });
        return post_([handler = std::move(next.on_done)]
                     { handler(answer_not_kept()); });
    case entry_state::unknown:
        break;
    }
    post_([handler = std::move(next.on_done)] { handler(outcome_unknown()); });
}

row_operation idempotency_ledger::make_insert(std::string const& row_key) const
{
    auto const& found = entries_.at(row_key);
    row_operation insert;
    insert.condition = {row_key, 0};
    insert.write = {row_key,
                    encode_entry(found, claim_state::started, nullptr)};
    return insert;
}

void idempotency_ledger::insert_row(std::string const& row_key)
{
    auto insert = make_insert(row_key);
    insert.on_done = [this, row_key](row_outcome outcome)
    { on_inserted(row_key, outcome); };
    batcher_.enqueue(std::move(insert));
}

void idempotency_ledger::on_inserted(std::string const& row_key,
                                     row_outcome outcome)
{
    if (outcome == row_outcome::committed ||
        outcome == row_outcome::condition_failed)
        gate_.on_answer();
    switch (outcome)
    {
    case row_outcome::committed:
        return grant(row_key, first_row_version);
    case row_outcome::condition_failed:
        return read_row(row_key);
    case row_outcome::not_written:
        return fail_claim(row_key, store_unavailable());
    case row_outcome::unknown:
        entries_.at(row_key).may_be_inserted = true;
        return retry_insert(row_key);
    }
}

void idempotency_ledger::retry_insert(std::string const& row_key)
{
    if (entries_.at(row_key).waiters.front().deadline <= clock_.now())
        return fail_claim(row_key, store_unavailable());
    insert_row(row_key);
}

void idempotency_ledger::read_row(std::string const& row_key)
{
    table_.read(row_key, options_.table_timeout,
                [this, row_key, post = post_,
                 alive = std::weak_ptr(lifetime_)](auto const& res)
                {
                    post(
                        [this, row_key, alive, res]
                        {
                            if (!alive.expired())
                                on_row(row_key, res);
                        });
                });
}

void idempotency_ledger::on_row(
    std::string const& row_key,
    kernel::result<std::optional<storage::row>> const& res)
{
    if (!kernel::ok(res))
        return fail_claim(row_key, store_unavailable());
    gate_.on_answer();
    auto const& row = kernel::value(res);
    if (!row)
        return retry_insert(row_key);
    auto const record = decode_claim_record(row->value);
    if (!record)
        return fail_claim(row_key, outcome_unknown());
    if (record->attempt_id == entries_.at(row_key).attempt_id)
        return grant(row_key, row->version);
    on_other_attempt(row_key, *record, row->version);
}

void idempotency_ledger::on_other_attempt(std::string const& row_key,
                                          claim_record const& record,
                                          std::uint64_t version)
{
    if (record.state == claim_state::released ||
        abandoned_attempts_.contains(record.attempt_id))
        return take_over(row_key, version);
    if (record.request_hash != entries_.at(row_key).request_hash)
        return fail_claim(row_key, key_reused());
    if (record.state == claim_state::done)
        return finish(row_key, entry_state::done, record.answer);
    // The entry is not kept in memory, because the other process may still
    // record its answer.
    fail_claim(row_key, outcome_unknown());
}

void idempotency_ledger::take_over(std::string const& row_key,
                                   std::uint64_t version)
{
    auto replace = make_insert(row_key);
    replace.condition.version = version;
    replace.on_done = [this, row_key, version](row_outcome outcome)
    {
        if (outcome == row_outcome::committed)
            return grant(row_key, version + 1);
        if (outcome == row_outcome::not_written)
            return fail_claim(row_key, store_unavailable());
        entries_.at(row_key).may_be_inserted = true;
        read_row(row_key);
    };
    batcher_.enqueue(std::move(replace));
}

void idempotency_ledger::grant(std::string const& row_key,
                               std::uint64_t version)
{
    auto& found = entries_.at(row_key);
    if (!is_settled(found))
    {
        found.may_be_inserted = true;
        return fail_claim(row_key, claims_incomplete(gate_.remaining()));
    }
    found.state = entry_state::running;
    found.row_version = version;
    found.era = table_.era();
    found.written_at = clock_.now();
    last_claim_ = clock_.now();
    auto const owner = std::move(found.waiters.front());
    found.waiters.erase(found.waiters.begin());
    owner.on_done(claim_decision(claim{row_key, version, found.attempt_id}));
}

bool idempotency_ledger::is_settled(entry const& claimed) const
{
    // The insert may have replaced a row of another era, or may be lost with
    // the old one, if the era changed while it was sent.
    return table_.era() <= first_era ||
           (claimed.era == table_.era() && gate_.is_open());
}

void idempotency_ledger::fail_claim(std::string const& row_key,
                                    kernel::error reason)
{
    auto node = entries_.extract(row_key);
    auto const& found = node.mapped();
    if (found.may_be_inserted &&
        abandoned_attempts_.size() < max_abandoned_attempts)
        abandoned_attempts_.insert(found.attempt_id);
    for (auto const& it : found.waiters)
        it.on_done(reason);
}

void idempotency_ledger::complete(claim const& held_claim,
                                  stored_answer const* answer)
{
    auto const it = entries_.find(held_claim.row_key);
    if (it == entries_.end() || it->second.attempt_id != held_claim.attempt_id)
        return;
    if (answer == nullptr)
        return finish(held_claim.row_key, entry_state::unknown, std::nullopt);
    it->second.written_at = clock_.now();
    last_claim_ = clock_.now();
    // Otherwise the row is written again with this outcome.
    if (it->second.era == table_.era())
        write_outcome(held_claim, *answer);
    std::optional<stored_answer> kept;
    if (answer->body.size() <= options_.max_answer_bytes)
        kept = *answer;
    finish(held_claim.row_key, entry_state::done, std::move(kept));
}

void idempotency_ledger::finish(std::string const& row_key, entry_state state,
                                std::optional<stored_answer> answer)
{
    auto& found = entries_.at(row_key);
    found.state = state;
    found.answer = std::move(answer);
    auto const waiters = std::move(found.waiters);
    found.waiters.clear();
    add_finished(row_key);
    auto const request_hash = entries_.contains(row_key)
                                  ? entries_.at(row_key).request_hash
                                  : std::string();
    for (auto const& it : waiters)
        begin_row(row_key, request_hash, it);
}

void idempotency_ledger::write_outcome(claim const& held_claim,
                                       stored_answer const& answer)
{
    bool const keep = answer.body.size() <= options_.max_answer_bytes &&
                      is_valid_utf8(answer.body);
    auto const& found = entries_.at(held_claim.row_key);
    write_later({{held_claim.row_key, found.row_version},
                 {held_claim.row_key, encode_entry(found, claim_state::done,
                                                   keep ? &answer : nullptr)},
                 {}});
}

void idempotency_ledger::release(claim const& held_claim)
{
    auto node = entries_.extract(held_claim.row_key);
    if (node.empty())
        return;
    auto& found = node.mapped();
    // Until the row is written, only this process knows that the call did not
    // start.
    if (abandoned_attempts_.size() < max_abandoned_attempts)
        abandoned_attempts_.insert(held_claim.attempt_id);
    if (found.era == table_.era())
        write_later({{held_claim.row_key, found.row_version},
                     {held_claim.row_key,
                      encode_entry(found, claim_state::released, nullptr)},
                     {}});
    for (auto& it : found.waiters)
    {
        if (it.deadline > clock_.now())
            begin_row(held_claim.row_key, found.request_hash, std::move(it));
        else
            it.on_done(deadline_exceeded());
    }
}

void idempotency_ledger::write_later(row_operation const& operation)
{
    pending_write const pending{operation, clock_.now(), table_.era()};
    if (gate_.is_informed())
        return write_pending(pending);
    // The version may have been given out again in an era not seen yet.
    if (pending_retries_.size() < max_pending_retries)
        pending_retries_.push_back(pending);
}

void idempotency_ledger::write_pending(pending_write const& pending)
{
    // Writes may be retried safely: if an earlier try took effect, the retry
    // fails its version condition.
    auto attempt = pending.operation;
    attempt.on_done = [this, pending](row_outcome outcome)
    {
        if (outcome == row_outcome::committed ||
            outcome == row_outcome::condition_failed)
            gate_.on_answer();
        bool const settled = outcome == row_outcome::committed ||
                             outcome == row_outcome::condition_failed;
        if (!settled && pending_retries_.size() < max_pending_retries)
            pending_retries_.push_back(pending);
    };
    batcher_.enqueue(std::move(attempt));
}

void idempotency_ledger::tick()
{
    bool const watch =
        !pending_retries_.empty() ||
        (last_claim_ && clock_.now() - *last_claim_ < max_copy_age);
    gate_.tick(watch);
    rewrite_lost_rows();
    // Until the gate has read its row, a restore may be unknown.
    if (gate_.is_informed())
        retry_pending();
}

void idempotency_ledger::rewrite_lost_rows()
{
    if (table_.era() <= first_era)
        return;
    std::vector<std::string> lost;
    for (auto const& [row_key, it] : entries_)
    {
        bool const may_be_lost = it.state != entry_state::claiming &&
                                 it.era < table_.era() &&
                                 clock_.now() - it.written_at < max_copy_age;
        if (may_be_lost && !it.rewrite_in_flight)
            lost.push_back(row_key);
    }
    for (auto const& it : lost)
        rewrite_row(it, {it, 0});
}

void idempotency_ledger::rewrite_row(std::string const& row_key,
                                     storage::row_condition const& condition)
{
    auto& found = entries_.at(row_key);
    found.rewrite_in_flight = true;
    auto rewritten = found;
    rewritten.era = table_.era();
    row_operation rewrite;
    rewrite.condition = condition;
    rewrite.write = {row_key, encode_current(rewritten)};
    rewrite.on_done = [this, row_key, condition, state = found.state,
                       era = rewritten.era](row_outcome outcome)
    {
        auto const it = entries_.find(row_key);
        if (it == entries_.end())
            return;
        if (outcome == row_outcome::condition_failed)
            return read_for_rewrite(row_key);
        it->second.rewrite_in_flight = false;
        if (outcome != row_outcome::committed || table_.era() != era)
            return;
        gate_.on_answer();
        it->second.row_version = condition.version + 1;
        // The next copy may lack this write too.
        it->second.written_at = clock_.now();
        last_claim_ = clock_.now();
        // An outcome recorded meanwhile is written by the next tick.
        if (it->second.state == state)
            it->second.era = era;
    };
    batcher_.enqueue(std::move(rewrite));
}

void idempotency_ledger::read_for_rewrite(std::string const& row_key)
{
    table_.read(row_key, options_.table_timeout,
                [this, row_key, era = table_.era(), post = post_,
                 alive = std::weak_ptr(lifetime_)](auto const& res)
                {
                    post(
                        [this, row_key, era, alive, res]
                        {
                            if (!alive.expired())
                                on_row_for_rewrite(row_key, era, res);
                        });
                });
}

void idempotency_ledger::on_row_for_rewrite(
    std::string const& row_key, std::uint64_t era,
    kernel::result<std::optional<storage::row>> const& res)
{
    auto const it = entries_.find(row_key);
    if (it == entries_.end())
        return;
    auto& found = it->second;
    found.rewrite_in_flight = false;
    // Without an answer of a certain era, or without a row, the next tick tries
    // again.
    if (!kernel::ok(res) || !kernel::value(res) || table_.era() != era)
        return;
    gate_.on_answer();
    auto const& row = *kernel::value(res);
    auto const record = decode_claim_record(row.value);
    bool const is_own = record && record->attempt_id == found.attempt_id;
    bool const is_done = record && record->state == claim_state::done;
    if (is_done || (is_own && found.state != entry_state::done))
    {
        found.row_version = row.version;
        found.era = era;
        found.written_at = clock_.now();
        last_claim_ = clock_.now();
        return;
    }
    // An attempt that made its claim in an older era was not granted after the
    // restore, and was not running when this claim was granted.
    if (is_own || (record && record->era < era))
        return rewrite_row(row_key, {row_key, row.version});
    // Another attempt was granted the claim before it could be written again;
    // its row is left as it is.
    found.era = era;
}

void idempotency_ledger::retry_pending()
{
    auto const retries = std::move(pending_retries_);
    pending_retries_.clear();
    for (auto const& it : retries)
    {
        // Versions of an older era may have been given out again. Outcomes
        // are then written by `rewrite_lost_rows`.
        if (clock_.now() - it.since < max_retry_age && it.era == table_.era())
            write_pending(it);
    }
}

std::string idempotency_ledger::encode_current(entry const& source) const
{
    if (source.state != entry_state::done)
        return encode_entry(source, claim_state::started, nullptr);
    bool const keep = source.answer && is_valid_utf8(source.answer->body);
    return encode_entry(source, claim_state::done,
                        keep ? &*source.answer : nullptr);
}

void idempotency_ledger::add_finished(std::string const& row_key)
{
    finished_keys_.push_back(row_key);
    if (finished_keys_.size() <= options_.max_entries)
        return;
    entries_.erase(finished_keys_.front());
    finished_keys_.pop_front();
}

std::string idempotency_ledger::encode_entry(entry const& source,
                                             claim_state state,
                                             stored_answer const* answer) const
{
    claim_record record;
    record.attempt_id = source.attempt_id;
    record.endpoint = options_.endpoint;
    record.request_hash = source.request_hash;
    record.state = state;
    if (answer != nullptr)
        record.answer = *answer;
    record.written_at = clock_.wall_now();
    // For an insert, the era at its first try: only then it can be granted.
    record.era = source.era;
    return encode(record);
}

std::string idempotency_ledger::make_attempt_id()
{
    return kernel::to_hex({random_.next(), random_.next()});
}

} // namespace endiveward::admission
