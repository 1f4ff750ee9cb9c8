#ifndef ENDIVEWARD_ENGINELINK_I_ROW_SOURCE_HPP
#define ENDIVEWARD_ENGINELINK_I_ROW_SOURCE_HPP

#include "wire/types/table_row.hpp"

#include <cstdint>
#include <vector>

namespace endiveward::enginelink
{

/// The rows of the operators' table that a process knows, and a way to tell it
/// of newer ones. Processes help each other while the store turns one away.
class i_row_source
{
public:
    virtual ~i_row_source() = default;

    virtual std::vector<wire::table_row>
    rows_after(std::uint64_t version) const = 0;
    virtual void merge(std::vector<wire::table_row> const& rows) = 0;
    /// The newest version of the store that this process has seen.
    virtual std::uint64_t version() const = 0;
};

} // namespace endiveward::enginelink

#endif
