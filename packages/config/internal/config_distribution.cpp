#include "config/config_distribution.hpp"

#include "kernel/types/hash128.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace endiveward::config
{

namespace
{

// Separate hash domains, so that the choice of gossip peers is independent of
// the assignment of agents.
constexpr std::uint64_t agent_domain = 1;
constexpr std::uint64_t gossip_domain = 2;

std::uint64_t hash_id(kernel::process_id const& id, std::uint64_t domain)
{
    return kernel::hash_bytes(id.str(), domain).low;
}

using ranked_id = std::pair<std::uint64_t, std::string>;

} // namespace

config_distribution::config_distribution(kernel::process_id self)
    : self_(std::move(self))
{
}

bool config_distribution::pushes_to(
    kernel::process_id const& agent,
    std::vector<kernel::process_id> const& routers) const
{
    auto const target = hash_id(agent, agent_domain);
    auto const rank = [&](kernel::process_id const& router)
    {
        return ranked_id(kernel::mix64(target, hash_id(router, agent_domain)),
                         router.str());
    };
    auto const own = rank(self_);
    std::size_t higher_ranked = 0;
    for (auto const& it : routers)
        if (rank(it) > own)
            ++higher_ranked;
    return higher_ranked < routers_per_agent;
}

std::vector<kernel::process_id> config_distribution::targets(
    kernel::config_version version,
    std::vector<distribution_member> const& members) const
{
    using role = distribution_member::role;
    std::vector<kernel::process_id> routers;
    std::vector<ranked_id> outdated;
    for (auto const& it : members)
    {
        if (it.member_role != role::router || it.id.str() == self_.str())
            continue;
        routers.push_back(it.id);
        if (it.version < version)
            outdated.emplace_back(
                kernel::mix64(
                    kernel::mix64(hash_id(self_, gossip_domain), version),
                    hash_id(it.id, gossip_domain)),
                it.id.str());
    }
    auto const count = std::min(gossip_fanout, outdated.size());
    std::partial_sort(outdated.begin(),
                      outdated.begin() + static_cast<std::ptrdiff_t>(count),
                      outdated.end(), std::greater<>());
    std::vector<kernel::process_id> res;
    for (std::size_t i = 0; i < count; ++i)
        res.emplace_back(outdated[i].second);
    for (auto const& it : members)
        if (it.member_role == role::agent && it.version < version &&
            pushes_to(it.id, routers))
            res.push_back(it.id);
    return res;
}

} // namespace endiveward::config
