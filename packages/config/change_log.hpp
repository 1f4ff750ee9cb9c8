#ifndef ENDIVEWARD_CONFIG_CHANGE_LOG_HPP
#define ENDIVEWARD_CONFIG_CHANGE_LOG_HPP

#include "config/change_log_reader.hpp"
#include "config/config_state.hpp"
#include "config/types/change.hpp"
#include "config/types/config_data.hpp"
#include "kernel/types/result.hpp"
#include "storage/types/row.hpp"
#include "storage/types/table_transaction.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace endiveward::config
{

/// The change conflicts with one that was committed before; it has not been
/// committed.
struct change_conflict
{
    /// `<kind>/<id>`
    std::string object;
    kernel::config_version seen = 0;
    change_info committed_change;

    bool operator==(change_conflict const&) const = default;
};

struct change_committed
{
    kernel::config_version version = 0;

    bool operator==(change_committed const&) const = default;
};

using commit_outcome = std::variant<change_committed, change_conflict>;

/// The error that reports a conflict to operators.
kernel::error to_error(change_conflict const& conflict);

struct change_log_options
{
    std::chrono::milliseconds timeout{1000};
    /// Maximum number of rounds of reading and submitting in a commit.
    std::size_t max_rounds = 50;
    /// Delay after a round in which the store failed or gave stale answers.
    std::chrono::milliseconds retry_delay{200};
    /// Time for routers to write back the changes that a restored table lacks,
    /// before the first change of an era: two of their poll intervals.
    std::chrono::milliseconds write_back_time{5000};
    /// Sleeps for the given time; tests replace it.
    std::function<void(std::chrono::milliseconds)> sleep;
    /// A snapshot is written at each version that is a multiple of this.
    std::size_t snapshot_interval = 256;
    /// Number of log rows before the last snapshot that are not trimmed.
    std::size_t retained_log_rows = 4096;
};

/// Commits operators' changes to the log in the platform's table. Methods
/// block; they are meant for command-line tools, not for processes that serve
/// requests. Not safe for concurrent use.
class change_log
{
public:
    change_log(std::shared_ptr<storage::i_table> table,
               std::shared_ptr<storage::i_object_store> objects,
               change_log_options options = {});
    virtual ~change_log() = default;
    change_log(change_log const&) = delete;
    change_log& operator=(change_log const&) = delete;

    /// Reads all changes. Errors: `store_unavailable`.
    kernel::result<std::shared_ptr<configuration const>> catch_up();

    /// Creates a change whose `seen` holds the versions that were read last.
    change prepare(std::string id, std::string author,
                   std::vector<change_operation> operations) const;

    /// Commits a change at most once, however often it is called with the same
    /// change. `repeated` must be set if the change may have been submitted
    /// before, by any process. Errors: `invalid_request` and `not_found` for
    /// the operations; `store_unavailable` if it is certainly not committed;
    /// `outcome_unknown` if it may be or become committed: repeat the call.
    kernel::result<commit_outcome> commit(change const& candidate,
                                          bool repeated = false);

protected:
    // Virtual, so that tests can derive change logs with planted faults.
    virtual storage::table_transaction
    make_transaction(change const& candidate) const;
    virtual std::optional<change_conflict>
    find_conflict(change const& candidate) const;
    /// The version at which the change was committed according to the log and
    /// its change-id row; nothing if neither shows it.
    virtual kernel::result<std::optional<change_committed>>
    find_committed(change const& candidate);

    config_data const& data() const;
    std::optional<storage::row> const& head() const { return head_; }

private:
    struct commit_attempt;

    /// Whether the log has been read up to the newest known head.
    bool is_current() const;
    /// Whether the data read so far are older than those that the author of the
    /// change saw.
    bool is_stale(change const& candidate) const;
    std::optional<kernel::result<commit_outcome>> pause();
    void index_changes(wire::config_update const& update);
    std::optional<kernel::result<commit_outcome>>
    run_round(commit_attempt& state);
    std::optional<kernel::result<commit_outcome>> submit(commit_attempt& state);
    kernel::result<kernel::done> validate(change const& candidate) const;
    void after_commit(kernel::config_version version);
    bool needs_new_era() const;
    void begin_era();
    bool put_snapshot(config_data const& data);
    void write_snapshot();
    void trim_log(kernel::config_version snapshot);

    std::shared_ptr<storage::i_table> table_;
    std::shared_ptr<storage::i_object_store> objects_;
    change_log_options options_;
    change_log_reader reader_;
    config_state state_;
    /// The newest head row that was read.
    std::optional<storage::row> head_;
    /// Era in which the head row was read. Row versions are given out again in
    /// the next one.
    std::uint64_t head_era_ = 0;
    bool waited_for_write_back_ = false;
    /// Versions of the changes that were read from the log, by change id.
    std::unordered_map<std::string, kernel::config_version> logged_versions_;
    /// The log has been read without gaps after this version.
    kernel::config_version log_start_ = 0;
};

} // namespace endiveward::config

#endif
