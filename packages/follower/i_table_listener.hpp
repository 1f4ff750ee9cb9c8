#ifndef ENDIVEWARD_FOLLOWER_I_TABLE_LISTENER_HPP
#define ENDIVEWARD_FOLLOWER_I_TABLE_LISTENER_HPP

#include "kernel/types/store_position.hpp"
#include "storage/types/table_row.hpp"

#include <string>
#include <vector>

namespace endiveward::follower
{

/// Receives the changes of a followed table.
class i_table_listener
{
public:
    virtual ~i_table_listener() = default;

    /// Reports the rows that were added, changed or deleted since the last
    /// call, and the position of the store up to which they are complete.
    virtual void on_rows(std::vector<storage::table_row> const& changed,
                         kernel::store_position const& position) = 0;
    /// Reports that the store stopped or began to answer.
    virtual void on_reachability_change(bool reachable,
                                        std::string const& reason) = 0;
};

} // namespace endiveward::follower

#endif
