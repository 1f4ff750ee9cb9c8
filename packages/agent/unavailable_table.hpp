#ifndef ENDIVEWARD_AGENT_UNAVAILABLE_TABLE_HPP
#define ENDIVEWARD_AGENT_UNAVAILABLE_TABLE_HPP

#include "platform/i_table.hpp"

namespace endiveward::agent
{

/// Stands for the table where the settings name none: every operation fails
/// with `store_unavailable`, certainly without effect.
class unavailable_table : public platform::i_table
{
public:
    void commit(platform::table_transaction transaction,
                std::chrono::milliseconds timeout,
                handler<platform::transaction_outcome> on_done) override;
    void read(std::string key, std::chrono::milliseconds timeout,
              handler<std::optional<platform::row>> on_done) override;
    void scan(std::string prefix, std::string after, std::size_t limit,
              std::chrono::milliseconds timeout,
              handler<std::vector<platform::row>> on_done) override;
};

} // namespace endiveward::agent

#endif
