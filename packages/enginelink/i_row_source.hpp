#ifndef ENDIVEWARD_ENGINELINK_I_ROW_SOURCE_HPP
#define ENDIVEWARD_ENGINELINK_I_ROW_SOURCE_HPP

#include "kernel/types/store_position.hpp"
#include "wire/types/table_row.hpp"

#include <cstdint>
#include <vector>

namespace endiveward::enginelink
{

/// A process's copy of the rows of the operators' table, into which newer rows
/// can be merged. Processes exchange rows, so that one whose requests the store
/// rejects still gets updates.
class i_row_source
{
public:
    virtual ~i_row_source() = default;

    virtual std::vector<wire::table_row>
    rows_after(kernel::store_position const& after) const = 0;
    virtual void merge(std::vector<wire::table_row> const& rows) = 0;
    /// Position of the newest row that this process knows.
    virtual kernel::store_position position() const = 0;
    /// Another process has named this era of the store. If it is newer, the
    /// table is read again.
    virtual void on_named_era(std::uint64_t era) = 0;
};

} // namespace endiveward::enginelink

#endif
