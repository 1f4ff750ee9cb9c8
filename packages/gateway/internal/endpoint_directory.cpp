#include "gateway/endpoint_directory.hpp"

#include <asio/ip/address.hpp>
#include <xxhash.h>

#include <algorithm>
#include <unordered_set>

namespace endiveward::gateway
{

namespace
{

/// Enough for the restarts of a large fleet within the time for which an
/// endpoint that has left still serves.
constexpr std::size_t max_removed = 1024;

asio::ip::tcp::endpoint address_of(endpoint_entry const& entry)
{
    std::error_code ec;
    auto const ip = asio::ip::make_address(entry.host, ec);
    // The decoder has already dropped entries with an invalid address.
    return {ip, entry.port};
}

} // namespace

endpoint_directory::endpoint_directory(pool_factory make_pool,
                                       std::uint64_t seed)
    : make_pool_(std::move(make_pool))
    , seed_(seed)
{
}

std::vector<kernel::endpoint_id>
endpoint_directory::update(std::vector<endpoint_entry> entries)
{
    std::vector<kernel::endpoint_id> ignored;
    std::unordered_set<kernel::endpoint_id> listed;
    by_service_.clear();
    // Sorted, so that the choice between equal endpoints does not depend on the
    // order of the list.
    std::sort(entries.begin(), entries.end(),
              [](auto const& a, auto const& b)
              { return a.id.str() < b.id.str(); });
    for (auto& it : entries)
    {
        listed.insert(it.id);
        auto& registered = records_[it.id];
        if (registered.record == nullptr)
            registered.record = take_removed(it.id);
        if (registered.record == nullptr)
            registered.record = make_record(it);
        else if (!registered.record->update(it))
            ignored.push_back(it.id);
        auto const& entry = registered.record->entry();
        auto const peer = address_of(entry);
        if (registered.pool == nullptr || registered.pool->peer() != peer)
            registered.pool = make_pool_(peer);
        by_service_[entry.service].push_back(registered.record);
    }
    std::erase_if(records_,
                  [&](auto const& it)
                  {
                      if (listed.contains(it.first))
                          return false;
                      it.second.pool->close_idle();
                      remember(it.second.record);
                      return true;
                  });
    return ignored;
}

/// Keeps the record of a removed endpoint. Its entry may return, for example
/// from a store that was restored from a copy, and requests in progress may
/// still learn that it is leaving.
void endpoint_directory::remember(std::shared_ptr<endpoint_record> record)
{
    record->on_link_lost();
    removed_.push_back(std::move(record));
    if (removed_.size() > max_removed)
        removed_.pop_front();
}

/// Takes the record out of the removed ones; null if there is none.
std::shared_ptr<endpoint_record>
endpoint_directory::take_removed(kernel::endpoint_id const& id)
{
    auto const found =
        std::find_if(removed_.begin(), removed_.end(),
                     [&](auto const& it) { return it->entry().id == id; });
    if (found == removed_.end())
        return nullptr;
    auto res = *found;
    removed_.erase(found);
    return res;
}

std::shared_ptr<endpoint_record>
endpoint_directory::make_record(endpoint_entry const& entry) const
{
    auto const& id = entry.id.str();
    return std::make_shared<endpoint_record>(
        entry, XXH3_64bits_withSeed(id.data(), id.size(), seed_));
}

endpoint_directory::record_list const&
endpoint_directory::of_service(kernel::service_id const& id) const
{
    auto const found = by_service_.find(id);
    return found == by_service_.end() ? empty_list_ : found->second;
}

std::shared_ptr<endpoint_record>
endpoint_directory::find(kernel::endpoint_id const& id) const
{
    auto const found = records_.find(id);
    return found == records_.end() ? nullptr : found->second.record;
}

std::shared_ptr<upstream_pool>
endpoint_directory::pool_of(endpoint_record const& record)
{
    auto const found = records_.find(record.entry().id);
    return found == records_.end() ? nullptr : found->second.pool;
}

std::vector<kernel::endpoint_id>
endpoint_directory::ids_with_model(kernel::model_id const& model) const
{
    std::vector<kernel::endpoint_id> res;
    for (auto const& [id, it] : records_)
    {
        if (it.record->entry().models.contains(model))
            res.push_back(id);
    }
    return res;
}

void endpoint_directory::for_each(
    std::function<void(endpoint_record&, upstream_pool&)> const& visit) const
{
    for (auto const& [id, it] : records_)
        visit(*it.record, *it.pool);
}

} // namespace endiveward::gateway
