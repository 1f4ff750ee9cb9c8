#include "agent/unavailable_table.hpp"

namespace endiveward::agent
{

namespace
{

kernel::error no_table()
{
    return {kernel::error_kind::store_unavailable,
            "no table is configured; set platform.table_url",
            kernel::run_state::not_run,
            {}};
}

} // namespace

void unavailable_table::commit(storage::table_transaction,
                               std::chrono::milliseconds,
                               handler<storage::transaction_outcome> on_done)
{
    on_done(no_table());
}

void unavailable_table::read(std::string, std::chrono::milliseconds,
                             handler<std::optional<storage::row>> on_done)
{
    on_done(no_table());
}

void unavailable_table::scan(std::string, std::string, std::size_t,
                             std::chrono::milliseconds,
                             handler<std::vector<storage::row>> on_done)
{
    on_done(no_table());
}

} // namespace endiveward::agent
