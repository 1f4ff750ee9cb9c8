#ifndef ENDIVEWARD_CONFIG_LOST_CHANGES_HPP
#define ENDIVEWARD_CONFIG_LOST_CHANGES_HPP

#include "config/change_log_reader.hpp"
#include "storage/types/table_transaction.hpp"

#include <optional>

namespace endiveward::config
{

class i_config_state;

/// Returns the transaction that writes the changes of this process back that a
/// table lacks after it was restored from a copy, or nothing if there are none.
/// It fails if the log has gone on meanwhile.
std::optional<storage::table_transaction>
restore_lost_changes(i_config_state const& state,
                     change_log_read_result const& log);

} // namespace endiveward::config

#endif
