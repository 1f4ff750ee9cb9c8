#ifndef ENDIVEWARD_RESUMPTION_VERSION_HISTORY_HPP
#define ENDIVEWARD_RESUMPTION_VERSION_HISTORY_HPP

#include "kernel/i_clock.hpp"
#include "kernel/types/store_position.hpp"
#include "resumption/listed_versions.hpp"
#include "resumption/recorded_versions.hpp"
#include "resumption/types/version_notice.hpp"
#include "resumption/types/version_row.hpp"
#include "resumption/version_row_codec.hpp"
#include "storage/types/row_batch.hpp"
#include "storage/types/table_transaction.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endiveward::resumption
{

/// Decides which software versions a router records in the store, when, and
/// from when on it may send requests to them. No I/O.
class version_history
{
public:
    using listing = listed_versions::listing;

    /// `first_start`: no stream can have begun before this process started.
    /// `share`, from 0 to 1, should differ between processes: the one with the
    /// lowest share writes first.
    version_history(bool first_start, double share);

    /// Sets the services whose streams can be resumed; others are not
    /// recorded.
    void set_services(std::set<kernel::service_id> services);
    /// Replaces the versions that endpoints have.
    void on_listed(listing const& current, kernel::steady_time now);
    /// The store was restored from a copy and may lack rows.
    void on_era(std::uint64_t era, kernel::steady_time now);
    void on_notice(version_notice const& notice, kernel::steady_time now);
    /// This process was cut off or stood still until now and may have missed
    /// notices.
    void on_out_of_step(kernel::steady_time now) { out_of_step_at_ = now; }
    /// A decision needs all rows that others have written until now. Returns
    /// true if the table has to be read for it.
    bool confirm(kernel::steady_time now);

    /// Whether the table is to be read now.
    bool needs_read(kernel::steady_time now) const;
    void on_read_begun(kernel::steady_time now) { read_begun_ = now; }
    void on_read(storage::row_batch const& batch, kernel::steady_time now);
    /// What is to be written now. Its result must be reported before the next
    /// call.
    std::optional<storage::table_transaction> next(kernel::steady_time now);
    void on_committed(kernel::store_position const& position,
                      kernel::steady_time now);
    /// A condition did not hold; these are the rows that the conditions name.
    void on_conflict(std::vector<storage::table_row> const& rows,
                     kernel::steady_time now);
    /// A read or write failed, or its answer was lost.
    void on_failed(kernel::steady_time now);

    /// Notices for other routers since the last call.
    std::vector<version_notice> take_notices();
    /// Whether requests may be sent to endpoints with this version, to which
    /// none were sent before.
    bool may_send(kernel::service_id const& service,
                  kernel::software_version const& software,
                  kernel::steady_time now) const;
    recorded_versions snapshot(kernel::steady_time now) const;

private:
    using id = listing::value_type;

    struct entry
    {
        /// As the store has it, or had it before it was restored.
        std::optional<version_row> row;
        /// 0 if the store does not have the row.
        std::uint64_t row_version = 0;
        bool listed = false;
        /// Whether streams may have begun at it before it was recorded.
        bool used = false;
        /// When this router saw it come or go.
        kernel::steady_time seen{};
    };

    struct unexplained_notice
    {
        version_notice notice;
        kernel::steady_time arrived;
    };

    entry& add(id const& name, kernel::steady_time now);
    void apply(id const& name, entry& it, version_notice const& notice,
               kernel::steady_time now);
    static void replace(entry& it, storage::table_row const* row);
    void replace_start(storage::table_row const* row);
    std::optional<version_row> wanted(id const& name, entry const& it) const;
    kernel::steady_time due(id const& name, entry const& it) const;
    std::chrono::milliseconds delay(kernel::service_id const& service) const;
    void remove_outdated(storage::table_transaction& res,
                         kernel::steady_time now);
    std::uint64_t notice_key(id const& name) const;
    std::chrono::milliseconds store_time(kernel::steady_time at) const;
    kernel::steady_time local_time(std::chrono::milliseconds at) const;

    bool const first_start_;
    double const share_;
    std::set<kernel::service_id> services_;
    std::map<id, entry> entries_;
    std::optional<record_start> start_;
    std::uint64_t start_version_ = 0;
    bool loaded_ = false;
    std::uint64_t era_ = 0;
    /// When the table is to be read.
    std::optional<kernel::steady_time> read_at_ = kernel::steady_time::min();
    kernel::steady_time read_begun_{};
    /// When the last read that was answered began.
    kernel::steady_time known_until_{};
    /// Since then the table has not been read.
    std::optional<kernel::steady_time> out_of_step_at_;
    /// When the last decision needed the table.
    std::optional<kernel::steady_time> confirm_from_;
    /// The store's clock less this process's one.
    std::chrono::milliseconds store_offset_{0};
    kernel::steady_time retry_at_ = kernel::steady_time::min();
    std::chrono::milliseconds backoff_{0};
    std::vector<id> in_flight_;
    std::map<id, version_row> written_;
    std::vector<version_notice> notices_;
    /// Notices about rows that are not known.
    std::vector<unexplained_notice> unexplained_;
};

} // namespace endiveward::resumption

#endif
