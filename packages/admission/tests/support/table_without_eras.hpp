#ifndef ENDIVEWARD_ADMISSION_TESTS_SUPPORT_TABLE_WITHOUT_ERAS_HPP
#define ENDIVEWARD_ADMISSION_TESTS_SUPPORT_TABLE_WITHOUT_ERAS_HPP

#include "storage/i_table.hpp"

#include <string>
#include <utility>
#include <vector>

namespace endiveward::admission::tests
{

/// A table whose restores cannot be noticed, as a planted fault of its users.
class table_without_eras : public storage::i_table
{
public:
    explicit table_without_eras(storage::i_table& table)
        : table_(table)
    {
    }

    void commit(storage::table_transaction transaction,
                std::chrono::milliseconds timeout,
                handler<storage::transaction_outcome> on_done) override
    {
        table_.commit(std::move(transaction), timeout, std::move(on_done));
    }
    void read(std::string key, std::chrono::milliseconds timeout,
              handler<std::optional<storage::row>> on_done) override
    {
        table_.read(std::move(key), timeout, std::move(on_done));
    }
    void scan(std::string prefix, std::string after, std::size_t limit,
              std::chrono::milliseconds timeout,
              handler<std::vector<storage::row>> on_done) override
    {
        table_.scan(std::move(prefix), std::move(after), limit, timeout,
                    std::move(on_done));
    }
    std::uint64_t era() const override { return 1; }

private:
    storage::i_table& table_;
};

} // namespace endiveward::admission::tests

#endif
