#ifndef ENDIVEWARD_ADMISSION_CLAIM_SWEEPER_HPP
#define ENDIVEWARD_ADMISSION_CLAIM_SWEEPER_HPP

#include "admission/internal/row_batcher.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/post_function.hpp"
#include "kernel/types/result.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace endiveward::storage
{
class i_table;
struct row;
} // namespace endiveward::storage

namespace endiveward::admission
{

/// Deletes claim rows after their retention period, one page of rows per tick.
class claim_sweeper
{
    kernel::i_clock const& clock_;
    storage::i_table& table_;
    kernel::post_function post_;

public:
    static constexpr std::size_t page_rows = 100;

    claim_sweeper(kernel::i_clock const& clock, storage::i_table& table,
                  kernel::post_function post,
                  std::chrono::milliseconds retention,
                  std::chrono::milliseconds table_timeout);

    /// Scans the next page and deletes its expired rows. Call about once a
    /// minute.
    void tick();
    std::uint64_t deleted() const { return deleted_; }

private:
    void on_page(kernel::result<std::vector<storage::row>> const& res);

    std::chrono::milliseconds const retention_;
    std::chrono::milliseconds const table_timeout_;
    row_batcher batcher_;
    /// Key after which the next page begins; empty for the first page.
    std::string scan_position_;
    bool scan_in_flight_ = false;
    std::uint64_t deleted_ = 0;
    std::shared_ptr<char> const lifetime_ = std::make_shared<char>();
};

} // namespace endiveward::admission

#endif
