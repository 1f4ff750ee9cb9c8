#ifndef ENDIVEWARD_FOLLOWER_I_CLUSTER_OBSERVER_HPP
#define ENDIVEWARD_FOLLOWER_I_CLUSTER_OBSERVER_HPP

#include "gateway/types/endpoint_entry.hpp"
#include "kernel/i_clock.hpp"
#include "storage/types/table_row.hpp"
#include "weights/types/model_target.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace endiveward::gateway
{
class routing_table;
}

namespace endiveward::follower
{

/// Receives changes of the configuration, the endpoints and the target versions
/// of weights, on the control thread.
class i_cluster_observer
{
public:
    virtual ~i_cluster_observer() = default;

    virtual void
    on_configuration(std::shared_ptr<gateway::routing_table const> table) = 0;
    virtual void
    on_endpoints(std::vector<gateway::endpoint_entry> const& endpoints) = 0;
    /// `row` is the row of the operators' table that names the target. No time
    /// is given if it was named before this process had read the table.
    virtual void on_target(weights::model_target const& target,
                           storage::table_row const& row,
                           std::optional<kernel::steady_time> announced_at) = 0;
};

} // namespace endiveward::follower

#endif
