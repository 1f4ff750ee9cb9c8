#ifndef ENDIVEWARD_FOLLOWER_ROW_EXCHANGE_HPP
#define ENDIVEWARD_FOLLOWER_ROW_EXCHANGE_HPP

#include "enginelink/i_row_source.hpp"

#include <memory>

namespace endiveward::follower
{

class table_follower;

/// Exchanges the rows of a followed table with other processes.
class row_exchange : public enginelink::i_row_source
{
public:
    void set_follower(std::shared_ptr<table_follower> follower);

    std::vector<wire::table_row>
    rows_after(kernel::store_position const& after) const override;
    void merge(std::vector<wire::table_row> const& rows) override;
    kernel::store_position position() const override;

private:
    std::shared_ptr<table_follower> follower_;
};

} // namespace endiveward::follower

#endif
