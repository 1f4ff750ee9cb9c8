#ifndef ENDIVEWARD_ADMISSION_IDEMPOTENCY_LEDGER_HPP
#define ENDIVEWARD_ADMISSION_IDEMPOTENCY_LEDGER_HPP

#include "admission/i_idempotency_ledger.hpp"
#include "admission/internal/era_gate.hpp"
#include "admission/internal/row_batcher.hpp"
#include "admission/types/claim_record.hpp"
#include "admission/types/idempotency_options.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace endiveward::kernel
{
class i_random_source;
}

namespace endiveward::storage
{
class i_table;
struct row;
} // namespace endiveward::storage

namespace endiveward::admission
{

/// Claims calls with an idempotency key by inserting rows into the platform's
/// table, and caches the answers of this process. Only the table decides who
/// owns a claim; the entries in memory save round trips.
class idempotency_ledger : public i_idempotency_ledger
{
    kernel::i_clock const& clock_;
    kernel::i_random_source& random_;
    storage::i_table& table_;
    kernel::post_function post_;

public:
    idempotency_ledger(kernel::i_clock const& clock,
                       kernel::i_random_source& random, storage::i_table& table,
                       kernel::post_function post, idempotency_options options);

    void begin(kernel::workspace_id const& workspace, std::string const& key,
               kernel::hash128 const& request_hash,
               kernel::steady_time deadline, handler on_done) override;
    void complete(claim const& held_claim,
                  stored_answer const* answer) override;
    void release(claim const& held_claim) override;
    void tick() override;

private:
    enum class entry_state : std::uint8_t
    {
        /// The claim row is being inserted or read.
        claiming,
        /// The claim was granted; the call has not ended.
        running,
        done,
        /// The call ended with an unknown outcome.
        unknown
    };

    struct waiter
    {
        kernel::steady_time deadline;
        handler on_done;
    };

    /// State of one idempotency key in this process.
    struct entry
    {
        entry_state state = entry_state::claiming;
        std::string attempt_id;
        std::string request_hash;
        std::optional<stored_answer> answer;
        /// Version of the claim row, once it is written.
        std::uint64_t row_version = 0;
        /// Era for which the claim row is known to be written; while claiming,
        /// the era known when the insert was sent.
        std::uint64_t era = 0;
        /// When the row was last written.
        kernel::steady_time written_at;
        bool rewrite_in_flight = false;
        /// The response to an insert was lost, so the row may exist or still
        /// appear.
        bool may_be_inserted = false;
        /// While the state is `claiming`, the first waiter is the attempt that
        /// the claim is for.
        std::vector<waiter> waiters;
    };

    struct pending_write
    {
        row_operation operation;
        /// Time of the first try.
        kernel::steady_time since;
        std::uint64_t era = 0;
    };

    using entry_map = std::map<std::string, entry>;

    void begin_row(std::string const& row_key, std::string request_hash,
                   waiter first);
    void join(entry& found, std::string const& request_hash, waiter next);
    void insert_row(std::string const& row_key);
    void on_inserted(std::string const& row_key, row_outcome outcome);
    void read_row(std::string const& row_key);
    void on_row(std::string const& row_key,
                kernel::result<std::optional<storage::row>> const& res);
    void on_other_attempt(std::string const& row_key,
                          claim_record const& record, std::uint64_t version);
    void take_over(std::string const& row_key, std::uint64_t version);
    void retry_insert(std::string const& row_key);
    void grant(std::string const& row_key, std::uint64_t version);
    void finish(std::string const& row_key, entry_state state,
                std::optional<stored_answer> answer);
    void fail_claim(std::string const& row_key, kernel::error reason);
    void write_outcome(claim const& held_claim, stored_answer const& answer);
    void write_later(row_operation const& operation);
    void write_pending(pending_write const& pending);
    /// Whether an insert that has just been answered gives the claim.
    bool is_settled(entry const& claimed) const;
    void rewrite_lost_rows();
    void rewrite_row(std::string const& row_key,
                     storage::row_condition const& condition);
    void read_for_rewrite(std::string const& row_key);
    void
    on_row_for_rewrite(std::string const& row_key, std::uint64_t era,
                       kernel::result<std::optional<storage::row>> const& res);
    void retry_pending();
    std::string encode_current(entry const& source) const;
    void add_finished(std::string const& row_key);
    row_operation make_insert(std::string const& row_key) const;
    std::string encode_entry(entry const& source, claim_state state,
                             stored_answer const* answer) const;
    std::string make_attempt_id();

    idempotency_options const options_;
    row_batcher batcher_;
    era_gate gate_;
    /// When a claim row was last written.
    std::optional<kernel::steady_time> last_claim_;
    entry_map entries_;
    /// Row keys of finished calls, oldest first.
    std::deque<std::string> finished_keys_;
    /// Attempt ids of this process whose calls certainly did not start, but
    /// whose rows may exist.
    std::set<std::string> abandoned_attempts_;
    std::vector<pending_write> pending_retries_;
    std::shared_ptr<char> const lifetime_ = std::make_shared<char>();
};

} // namespace endiveward::admission

#endif
