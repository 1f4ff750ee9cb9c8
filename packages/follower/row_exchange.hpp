#ifndef ENDIVEWARD_FOLLOWER_ROW_EXCHANGE_HPP
#define ENDIVEWARD_FOLLOWER_ROW_EXCHANGE_HPP

#include "enginelink/i_row_source.hpp"

#include <cstdint>
#include <memory>

namespace endiveward::follower
{

class cluster_view;
class table_follower;

/// Exchanges the rows of the operators' table with other processes.
class row_exchange : public enginelink::i_row_source
{
public:
    void set_follower(std::shared_ptr<table_follower> follower);
    /// The view knows rows that the store lacks after it was restored from a
    /// copy. It must outlive the exchange.
    void set_view(cluster_view const& view);

    std::vector<wire::table_row>
    rows_after(kernel::store_position const& after) const override;
    void merge(std::vector<wire::table_row> const& rows) override;
    kernel::store_position position() const override;
    void on_named_era(std::uint64_t era) override;

private:
    std::shared_ptr<table_follower> follower_;
    cluster_view const* view_ = nullptr;
};

} // namespace endiveward::follower

#endif
