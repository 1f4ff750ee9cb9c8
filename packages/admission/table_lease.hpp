#ifndef ENDIVEWARD_ADMISSION_TABLE_LEASE_HPP
#define ENDIVEWARD_ADMISSION_TABLE_LEASE_HPP

#include "admission/i_order_lease.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/post_function.hpp"
#include "kernel/types/result.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace endiveward::storage
{
class i_table;
struct row;
struct transaction_outcome;
} // namespace endiveward::storage

namespace endiveward::admission
{

struct table_lease_options
{
    std::string row_key;
    /// Identifies the holder; must be unique for each process start.
    std::string holder;
    std::chrono::milliseconds duration{10'000};
    std::chrono::milliseconds renew_interval{3000};
    /// Time before its expiry from which the lease is no longer relied upon.
    std::chrono::milliseconds expiry_margin{2000};
    std::chrono::milliseconds table_timeout{1000};
};

/// Lease stored in a row of the platform's table. Its fencing number consists
/// of the table's era and, below it, of an epoch that increases with each
/// change of holder.
class table_lease : public i_order_lease
{
    kernel::i_clock const& clock_;
    storage::i_table& table_;
    kernel::post_function post_;

public:
    table_lease(kernel::i_clock const& clock, storage::i_table& table,
                kernel::post_function post, table_lease_options options);

    void tick() override;
    std::optional<std::uint64_t> fencing_number() const override;
    void release() override;

private:
    /// The lease row as last read or written.
    struct observation
    {
        std::uint64_t version = 0;
        std::uint64_t epoch = 0;
        std::string holder;
        /// Era in which the row's writer had read the row before.
        std::uint64_t row_era = 0;
        /// Era in which this version was observed.
        std::uint64_t era = 0;
        /// When this version was first observed, or its write was sent.
        kernel::steady_time since;
    };

    void read();
    void on_row(std::optional<storage::row> const& row, std::uint64_t era);
    bool may_write(observation const& current) const;
    /// Whether the table has come back from a copy since the lease was last
    /// written.
    bool era_changed() const;
    void write(observation const& current);
    void on_written(kernel::result<storage::transaction_outcome> const& res,
                    observation const& written);

    table_lease_options const options_;
    bool request_in_flight_ = false;
    std::optional<observation> observed_;
    /// Epoch of the lease held until `valid_until_`; 0 if no lease was acquired
    /// since the last `release`.
    std::uint64_t epoch_ = 0;
    std::uint64_t held_era_ = 0;
    kernel::steady_time valid_until_;
    kernel::steady_time next_renewal_;
    std::shared_ptr<char> const lifetime_ = std::make_shared<char>();
};

} // namespace endiveward::admission

#endif
