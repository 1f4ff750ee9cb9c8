#include "router/config_dissemination.hpp"

#include "kernel/i_random_source.hpp"

#include <algorithm>
#include <utility>

namespace endiveward::router
{

namespace
{

bool contains(std::vector<kernel::socket_address> const& all,
              kernel::socket_address const& address)
{
    return std::find(all.begin(), all.end(), address) != all.end();
}

/// Reduces the list to `count` random elements.
template <typename T>
void sample(std::vector<T>& all, std::size_t count,
            kernel::i_random_source& random)
{
    count = std::min(count, all.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(all[i], all[i + random.next() % (all.size() - i)]);
    all.resize(count);
}

} // namespace

config_dissemination::config_dissemination(
    kernel::process_id self, kernel::region_id region,
    std::shared_ptr<kernel::i_clock const> clock,
    std::shared_ptr<kernel::i_random_source> random)
    : clock_(std::move(clock))
    , random_(std::move(random))
    , self_(std::move(self))
    , region_(std::move(region))
    , distribution_(self_)
{
}

void config_dissemination::add_own_address(
    kernel::socket_address const& address)
{
    std::lock_guard const lock(mutex_);
    if (!is_own(address))
        own_addresses_.push_back(address);
}

void config_dissemination::add_seed(kernel::socket_address const& address)
{
    std::lock_guard const lock(mutex_);
    if (!contains(seeds_, address))
        seeds_.push_back(address);
}

void config_dissemination::set_listed(
    std::vector<kernel::socket_address> const& routers)
{
    std::lock_guard const lock(mutex_);
    listed_ = routers;
}

void config_dissemination::on_open(wire::hello const& peer)
{
    if (is_self(peer.process))
        return;
    std::lock_guard const lock(mutex_);
    auto& all = peer.role == wire::process_role::agent ? agents_ : routers_;
    auto& found = all[peer.process.str()];
    found.hello = peer;
    found.version = peer.config_version;
    ++found.connections;
    found.last_seen = clock_->now();
    found.last_seen_directly = found.last_seen;
    found.last_used = found.last_seen;
}

void config_dissemination::on_closed(wire::hello const& peer)
{
    std::lock_guard const lock(mutex_);
    auto& all = peer.role == wire::process_role::agent ? agents_ : routers_;
    auto const it = all.find(peer.process.str());
    if (it == all.end() || it->second.connections == 0)
        return;
    --it->second.connections;
    // A router without a connection remains known until it expires.
    if (&all == &agents_ && it->second.connections == 0)
        all.erase(it);
}

void config_dissemination::on_address(kernel::process_id const& router,
                                      kernel::socket_address const& address)
{
    std::lock_guard const lock(mutex_);
    auto const it = routers_.find(router.str());
    if (it != routers_.end())
        it->second.address = address;
}

void config_dissemination::on_used(kernel::process_id const& process)
{
    std::lock_guard const lock(mutex_);
    auto const it = routers_.find(process.str());
    if (it != routers_.end())
        it->second.last_used = clock_->now();
}

void config_dissemination::on_version(kernel::process_id const& process,
                                      kernel::config_version version)
{
    std::lock_guard const lock(mutex_);
    for (auto* const all : {&routers_, &agents_})
    {
        auto const it = all->find(process.str());
        if (it == all->end())
            continue;
        auto& found = it->second;
        found.version = std::max(found.version, version);
        found.last_seen = clock_->now();
        found.last_seen_directly = found.last_seen;
        found.last_used = found.last_seen;
    }
}

void config_dissemination::on_gossip(wire::gossip const& msg)
{
    std::lock_guard const lock(mutex_);
    for (auto const& it : msg.members)
    {
        if (it.role != wire::process_role::router || it.leaving ||
            is_self(it.process))
            continue;
        auto& found = routers_[it.process.str()];
        found.hello.process = it.process;
        found.hello.region = it.region;
        found.hello.zone = it.zone;
        found.hello.incarnation = it.incarnation;
        found.address = {it.address, it.port};
        found.last_seen = clock_->now();
    }
}

std::vector<push_target>
config_dissemination::push_targets(kernel::config_version version)
{
    std::lock_guard const lock(mutex_);
    drop_expired();
    std::vector<push_target> out;
    // Agents are connected only to routers of their own region, so the two
    // routers that push to an agent are ranked among these.
    for (bool const agents : {true, false})
    {
        auto& all = agents ? agents_ : routers_;
        for (auto const& id :
             distribution_.targets(version, members(agents, version)))
        {
            auto const it = all.find(id.str());
            if (it == all.end())
                continue;
            out.push_back({{id, it->second.address}, it->second.version});
            it->second.version = version;
        }
    }
    return out;
}

std::vector<config::distribution_member>
config_dissemination::members(bool agents, kernel::config_version version) const
{
    using role = config::distribution_member::role;
    std::vector<config::distribution_member> out;
    for (auto const& [name, it] : routers_)
    {
        if (!is_live(it) || (agents && it.hello.region != region_))
            continue;
        // With the current version a router takes part in the ranking for
        // agents without being a target itself.
        auto const known = agents ? version : it.version;
        out.push_back({it.hello.process, role::router, known});
    }
    if (!agents)
        return out;
    for (auto const& [name, it] : agents_)
    {
        if (it.hello.region == region_)
            out.push_back({it.hello.process, role::agent, it.version});
    }
    return out;
}

std::vector<process_contact> config_dissemination::gossip_contacts()
{
    std::lock_guard const lock(mutex_);
    drop_expired();
    auto out = contacts();
    sample(out, gossip_fanout, *random_);
    return out;
}

std::vector<process_contact> config_dissemination::contacts() const
{
    std::vector<process_contact> out;
    std::vector<kernel::socket_address> included = own_addresses_;
    for (auto const& [name, it] : routers_)
    {
        if (it.connections == 0 && (it.address.port == 0 || is_own(it.address)))
            continue;
        out.push_back({it.hello.process, it.address});
        included.push_back(it.address);
    }
    for (auto const* const all : {&seeds_, &listed_})
    {
        for (auto const& it : *all)
        {
            if (contains(included, it))
                continue;
            out.push_back({{}, it});
            included.push_back(it);
        }
    }
    return out;
}

wire::gossip config_dissemination::make_gossip(kernel::config_version version,
                                               wire::hello const& own) const
{
    std::lock_guard const lock(mutex_);
    std::vector<known_process> recent_routers;
    for (auto const& [name, it] : routers_)
    {
        bool const recent =
            it.connections > 0 ||
            (it.last_seen_directly &&
             clock_->now() - *it.last_seen_directly <= member_lifetime);
        if (recent && it.address.port != 0)
            recent_routers.push_back(it);
    }
    bool const include_self = !own_addresses_.empty();
    sample(recent_routers, max_gossip_members - (include_self ? 1 : 0),
           *random_);
    if (include_self)
        recent_routers.push_back(
            {own, version, own_addresses_.front(), 0, {}, {}, {}});
    wire::gossip out;
    out.config_version = version;
    for (auto const& it : recent_routers)
        out.members.push_back({it.hello.process, wire::process_role::router,
                               it.address.host, it.address.port,
                               it.hello.region, it.hello.zone,
                               it.hello.incarnation, false});
    return out;
}

std::vector<kernel::process_id> config_dissemination::idle_routers() const
{
    std::lock_guard const lock(mutex_);
    std::vector<kernel::process_id> out;
    for (auto const& [name, it] : routers_)
    {
        if (it.connections > 0 && clock_->now() - it.last_used >= idle_limit)
            out.push_back(it.hello.process);
    }
    return out;
}

bool config_dissemination::is_self(kernel::process_id const& process) const
{
    return process == self_;
}

bool config_dissemination::is_own(kernel::socket_address const& address) const
{
    return contains(own_addresses_, address);
}

bool config_dissemination::is_live(known_process const& it) const
{
    return it.connections > 0 ||
           clock_->now() - it.last_seen <= member_lifetime;
}

void config_dissemination::drop_expired()
{
    std::erase_if(routers_,
                  [this](auto const& it) { return !is_live(it.second); });
}

} // namespace endiveward::router
