#include "follower/row_exchange.hpp"

#include "follower/table_follower.hpp"

#include <algorithm>

namespace endiveward::follower
{

void row_exchange::set_follower(std::shared_ptr<table_follower> follower)
{
    follower_ = std::move(follower);
}

std::vector<wire::table_row>
row_exchange::rows_after(std::uint64_t version) const
{
    std::vector<wire::table_row> res;
    if (follower_ == nullptr)
        return res;
    for (auto const& [key, it] : follower_->rows())
    {
        if (it.version > version)
            res.push_back({it.key, it.value, it.version});
    }
    return res;
}

void row_exchange::merge(std::vector<wire::table_row> const& rows)
{
    if (follower_ == nullptr)
        return;
    std::vector<storage::table_row> converted;
    converted.reserve(rows.size());
    for (auto const& it : rows)
        converted.push_back({it.key, it.value, it.version, false});
    follower_->merge(converted);
}

/// Version of the newest known row. The version of the store may be higher
/// because of changes in other tables.
std::uint64_t row_exchange::version() const
{
    std::uint64_t res = 0;
    if (follower_ == nullptr)
        return res;
    for (auto const& [key, it] : follower_->rows())
        res = std::max(res, it.version);
    return res;
}

} // namespace endiveward::follower
