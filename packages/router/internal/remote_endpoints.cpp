#include "router/remote_endpoints.hpp"

#include "config/types/routing_key.hpp"
#include "kernel/types/hash128.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace endiveward::router
{

namespace
{

/// Joins the identifiers with line breaks, which they do not contain.
std::string key_of(config::routing_key const& routing)
{
    return routing.workspace.str() + '\n' + routing.model.str() + '\n' +
           routing.version.str() + '\n' + routing.service.str();
}

} // namespace

remote_endpoints::remote_endpoints(std::shared_ptr<kernel::i_clock const> clock)
    : clock_(std::move(clock))
{
}

void remote_endpoints::set_listed(std::vector<listed_agent> const& agents)
{
    std::lock_guard const lock(mutex_);
    listed_.clear();
    for (auto const& it : agents)
        listed_.emplace(it.endpoint.str(), it);
}

std::vector<listed_agent>
remote_endpoints::choose(config::routing_key const& routing,
                         std::vector<kernel::endpoint_id> const& allowed)
{
    std::lock_guard const lock(mutex_);
    auto const key = key_of(routing);
    auto const key_hash = kernel::hash_bytes(key).low;
    std::vector<std::pair<std::uint64_t, listed_agent const*>> ranked;
    for (auto const& it : allowed)
    {
        auto const found = listed_.find(it.str());
        if (found == listed_.end() || is_backing_off(it))
            continue;
        auto const weight =
            kernel::mix64(key_hash, kernel::hash_bytes(it.str()).low);
        ranked.emplace_back(weight, &found->second);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](auto const& lhs, auto const& rhs)
              { return lhs.first > rhs.first; });
    ranked.resize(std::min(ranked.size(), max_per_routing_key));
    std::vector<listed_agent> out;
    choice chosen;
    chosen.last_used = clock_->now();
    for (auto const& [weight, it] : ranked)
    {
        out.push_back(*it);
        chosen.endpoints.push_back(it->endpoint);
    }
    drop_idle();
    choices_[key] = std::move(chosen);
    return out;
}

void remote_endpoints::on_failed(kernel::endpoint_id const& endpoint)
{
    std::lock_guard const lock(mutex_);
    failed_[endpoint.str()] = clock_->now();
}

bool remote_endpoints::is_idle(kernel::endpoint_id const& endpoint)
{
    std::lock_guard const lock(mutex_);
    drop_idle();
    return std::none_of(choices_.begin(), choices_.end(),
                        [&](auto const& it)
                        {
                            auto const& all = it.second.endpoints;
                            return std::find(all.begin(), all.end(),
                                             endpoint) != all.end();
                        });
}

bool remote_endpoints::is_backing_off(kernel::endpoint_id const& endpoint) const
{
    auto const it = failed_.find(endpoint.str());
    return it != failed_.end() && clock_->now() - it->second < failure_backoff;
}

void remote_endpoints::drop_idle()
{
    auto const now = clock_->now();
    std::erase_if(choices_, [&](auto const& it)
                  { return now - it.second.last_used >= idle_limit; });
    std::erase_if(failed_, [&](auto const& it)
                  { return now - it.second >= failure_backoff; });
}

} // namespace endiveward::router
