#ifndef ENDIVEWARD_FOLLOWER_I_TABLE_LISTENER_HPP
#define ENDIVEWARD_FOLLOWER_I_TABLE_LISTENER_HPP

#include "follower/types/contact_change.hpp"
#include "follower/types/era_notice.hpp"
#include "kernel/types/store_position.hpp"
#include "storage/types/table_row.hpp"

#include <vector>

namespace endiveward::follower
{

/// Receives the changes of a followed table.
class i_table_listener
{
public:
    virtual ~i_table_listener() = default;

    /// Reports the rows that were added, changed or deleted since the last
    /// call, and the position of the store up to which they are complete. Rows
    /// that another process knows from an earlier era are reported too.
    virtual void on_rows(std::vector<storage::table_row> const& changed,
                         kernel::store_position const& position) = 0;
    /// Reports all rows of the table as first read in a new era of the store.
    /// They replace those of the earlier era, but may be older.
    virtual void on_restored_rows(std::vector<storage::table_row> const& rows,
                                  kernel::store_position const& position) = 0;
    virtual void on_era_notice(era_notice const& notice) = 0;
    virtual void on_contact_change(contact_change const& change) = 0;
};

} // namespace endiveward::follower

#endif
