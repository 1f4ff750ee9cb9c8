#ifndef ENDIVEWARD_FOLLOWER_CLUSTER_VIEW_HPP
#define ENDIVEWARD_FOLLOWER_CLUSTER_VIEW_HPP

#include "follower/i_table_listener.hpp"
#include "follower/removal_hold.hpp"
#include "follower/restored_entries.hpp"
#include "gateway/types/endpoint_entry.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"

#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::observe
{
class decision_log;
}

namespace endiveward::follower
{

class i_cluster_observer;
class i_entry_decoder;

/// Derives the configuration, the list of endpoints and the target versions of
/// weights from the rows of the operators' and the endpoints' tables. None of
/// them reverts to an older version.
class cluster_view
{
public:
    cluster_view(asio::io_context& context, kernel::i_clock const& clock,
                 i_entry_decoder const& decoder, i_cluster_observer& observer,
                 observe::decision_log& log, removal_hold_options hold = {});
    ~cluster_view();
    cluster_view(cluster_view const&) = delete;
    cluster_view& operator=(cluster_view const&) = delete;

    /// Listeners for the followers of the two tables.
    i_table_listener& operator_rows_listener();
    i_table_listener& endpoint_rows_listener();

    kernel::config_version config_version() const { return config_version_; }
    /// Whether a configuration and the list of endpoints are known.
    bool complete() const;
    std::vector<gateway::endpoint_entry> endpoint_list() const;
    /// The operators' rows with the newest content. After the store was
    /// restored from a copy, the table may lack them for some time.
    std::vector<storage::table_row> operator_rows_in_force() const;
    /// Ends the holds after an outage or a restore that are over. Runs by
    /// timers, too.
    void release_held_entries();

private:
    class operators_listener;
    class endpoints_listener;

    struct named_target
    {
        weights::weight_version version = 0;
        storage::table_row row;
    };

    void on_operator_row(storage::table_row const& row, std::uint64_t era);
    void on_endpoint_rows(std::vector<storage::table_row> const& rows);
    void on_restored_endpoints(std::vector<storage::table_row> const& rows,
                               kernel::store_position const& position);
    void plan_release();
    void log_era(char const* table, era_notice const& notice);
    void log_contact(char const* table, contact_change const& change);
    void on_endpoints_contact_change(contact_change const& change);
    void plan_expiry();
    void remove_expired();
    void publish_endpoints();

    kernel::i_clock const& clock_;
    i_entry_decoder const& decoder_;
    i_cluster_observer& observer_;
    observe::decision_log& log_;
    std::unique_ptr<operators_listener> operators_;
    std::unique_ptr<endpoints_listener> endpoints_;
    asio::steady_timer expiry_timer_;
    kernel::config_version config_version_ = 0;
    storage::table_row config_row_;
    std::map<kernel::model_id, named_target> targets_;
    std::map<std::string, gateway::endpoint_entry> entries_;
    /// Entries that may have expired while the store was unreachable and may be
    /// registered again, with the ends of their holds.
    std::map<std::string, kernel::steady_time> expired_;
    removal_hold hold_;
    /// Whether the operators' table has been read once.
    bool operator_rows_known_ = false;
    bool endpoints_known_ = false;
    restored_entries restored_;
    asio::steady_timer release_timer_;
};

} // namespace endiveward::follower

#endif
