#include "gateway/routing_table.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <set>

namespace endiveward::gateway
{

namespace
{

std::string host_key(std::string_view host)
{
    auto const name = host.substr(0, host.find(':'));
    std::string res(name);
    std::transform(res.begin(), res.end(), res.begin(),
                   [](unsigned char it)
                   { return static_cast<char>(std::tolower(it)); });
    return res;
}

/// The cache group of all workspaces that are not isolated. A workspace that
/// becomes isolated has made KV cache in the group that it leaves, so that the
/// others need a new one. It depends only on the configuration, so that all
/// routers agree, also those that start later.
std::string shared_cache_group(std::vector<workspace_entry> const& workspaces)
{
    std::set<std::string> isolated;
    for (auto const& it : workspaces)
    {
        if (it.isolated)
            isolated.insert(it.id.str());
    }
    if (isolated.empty())
        return {};
    std::string buf;
    for (auto const& it : isolated)
        buf += fmt::format("{}:{}", it.size(), it);
    return fmt::format("/{:016x}", XXH3_64bits(buf.data(), buf.size()));
}

} // namespace

routing_table::routing_table(routing_config config)
    : config_(std::move(config))
    , shared_cache_group_(shared_cache_group(config_.workspaces))
{
    for (auto const& it : config_.routes)
        by_host_[host_key(it.host)].push_back(&it);
    for (auto& [host, routes] : by_host_)
    {
        std::stable_sort(routes.begin(), routes.end(),
                         [](route const* a, route const* b)
                         { return a->prefix.size() > b->prefix.size(); });
    }
    for (auto const& it : config_.services)
    {
        if (it.kv_store)
            kv_stores_.push_back(it.kv_store->address);
    }
    for (auto const& it : config_.workspaces)
    {
        by_id_.emplace(it.id.str(), &it);
        for (auto const& key : it.keys)
        {
            // A request without a key has an empty one.
            if (!key.empty())
                by_key_.emplace(key, &it);
        }
    }
}

route const* routing_table::match(std::string_view host,
                                  std::string_view target) const
{
    auto const found = by_host_.find(host_key(host));
    if (found == by_host_.end())
        return nullptr;
    auto const path = target.substr(0, target.find('?'));
    for (auto const* it : found->second)
    {
        if (path.starts_with(it->prefix))
            return it;
    }
    return nullptr;
}

workspace_entry const* routing_table::workspace_of(std::string_view key) const
{
    auto const found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

bool routing_table::shares_capacity() const
{
    return std::any_of(config_.workspaces.begin(), config_.workspaces.end(),
                       [](auto const& it) { return it.limit.has_value(); });
}

double routing_table::weight_of(workspace_entry const& workspace) const
{
    return workspace.limit ? workspace.limit->rate_per_s : 1;
}

std::string
routing_table::cache_group_of(workspace_entry const* workspace) const
{
    if (workspace == nullptr)
        return shared_cache_group_;
    auto const found = by_id_.find(workspace->id.str());
    // The configuration no longer tells whether a removed workspace is
    // isolated.
    auto const is_alone = found == by_id_.end() || found->second->isolated;
    return is_alone ? workspace->id.str() : shared_cache_group_;
}

service const* routing_table::find_service(kernel::service_id const& id) const
{
    for (auto const& it : config_.services)
    {
        if (it.id == id)
            return &it;
    }
    return nullptr;
}

kernel::service_id const* service_for(route const& chosen,
                                      std::string_view request_id)
{
    double total = 0;
    for (auto const& it : chosen.shares)
        total += it.weight;
    if (total <= 0)
        return nullptr;
    constexpr double buckets = 1U << 30U;
    auto const hash = XXH3_64bits(request_id.data(), request_id.size());
    auto point = static_cast<double>(hash % (1U << 30U)) / buckets * total;
    for (auto const& it : chosen.shares)
    {
        point -= it.weight;
        if (point < 0)
            return &it.service;
    }
    return &chosen.shares.back().service;
}

bool sends_to(route const& chosen, kernel::service_id const& service)
{
    return std::any_of(chosen.shares.begin(), chosen.shares.end(),
                       [&](auto const& it)
                       { return it.service == service && it.weight > 0; });
}

} // namespace endiveward::gateway
