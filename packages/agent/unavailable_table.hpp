#ifndef ENDIVEWARD_AGENT_UNAVAILABLE_TABLE_HPP
#define ENDIVEWARD_AGENT_UNAVAILABLE_TABLE_HPP

#include "storage/i_table.hpp"

namespace endiveward::agent
{

/// Used if the settings configure no table: every operation fails with
/// `store_unavailable` and has no effect.
class unavailable_table : public storage::i_table
{
public:
    void commit(storage::table_transaction transaction,
                std::chrono::milliseconds timeout,
                handler<storage::transaction_outcome> on_done) override;
    void read(std::string key, std::chrono::milliseconds timeout,
              handler<std::optional<storage::row>> on_done) override;
    void scan(std::string prefix, std::string after, std::size_t limit,
              std::chrono::milliseconds timeout,
              handler<std::vector<storage::row>> on_done) override;
    std::uint64_t era() const override { return 0; }
};

} // namespace endiveward::agent

#endif
