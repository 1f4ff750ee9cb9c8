#ifndef ENDIVEWARD_ROUTER_CONFIG_DISSEMINATION_HPP
#define ENDIVEWARD_ROUTER_CONFIG_DISSEMINATION_HPP

#include "config/config_distribution.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/socket_address.hpp"
#include "router/types/push_target.hpp"
#include "wire/types/gossip.hpp"
#include "wire/types/hello.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::kernel
{
class i_random_source;
}

namespace endiveward::router
{

/// Decides which processes a new configuration version is pushed to, which
/// routers this one gossips with, and which connections to routers are idle. No
/// I/O. Safe for concurrent use.
class config_dissemination
{
    std::shared_ptr<kernel::i_clock const> clock_;
    std::shared_ptr<kernel::i_random_source> random_;

public:
    static constexpr std::size_t gossip_fanout = 2;
    /// A member takes about 100 bytes. The limit keeps gossip below half of the
    /// 4 KB/s that a daemon may use for control traffic.
    static constexpr std::size_t max_gossip_members = 8;
    /// A router without a connection is considered dead if no message from
    /// it or gossip about it has arrived for this long.
    static constexpr std::chrono::seconds member_lifetime{30};
    static constexpr std::chrono::seconds idle_limit{10};

    config_dissemination(kernel::process_id self, kernel::region_id region,
                         std::shared_ptr<kernel::i_clock const> clock,
                         std::shared_ptr<kernel::i_random_source> random);

    /// Adds an address on which this router itself listens.
    void add_own_address(kernel::socket_address const& address);
    /// Adds a seed that turned out to be a router. Seeds are never removed.
    void add_seed(kernel::socket_address const& address);
    /// Replaces the routers known from the VM list; leaving ones are not
    /// included.
    void set_listed(std::vector<kernel::socket_address> const& routers);

    /// A connection was opened, by either side.
    void on_open(wire::hello const& peer);
    void on_closed(wire::hello const& peer);
    void on_address(kernel::process_id const& router,
                    kernel::socket_address const& address);
    /// A message was sent to or received from a connected process.
    void on_used(kernel::process_id const& process);
    /// A connected process reported its configuration version.
    void on_version(kernel::process_id const& process,
                    kernel::config_version version);
    void on_gossip(wire::gossip const& msg);

    /// Returns the processes that a version is to be pushed to. Each process is
    /// returned once for a version unless it reconnects.
    std::vector<push_target> push_targets(kernel::config_version version);
    /// Returns at most `gossip_fanout` random routers.
    std::vector<process_contact> gossip_contacts();
    /// Lists this router and routers that it received messages from directly.
    /// Routers known only through gossip are left out: otherwise routers would
    /// keep a dead one alive by repeating each other.
    wire::gossip make_gossip(kernel::config_version version,
                             wire::hello const& own) const;
    /// Returns the routers whose connections were not used for `idle_limit`.
    std::vector<kernel::process_id> idle_routers() const;

private:
    struct known_process
    {
        wire::hello hello;
        kernel::config_version version = 0;
        kernel::socket_address address;
        std::size_t connections = 0;
        /// Time of the last message from the process or of the last gossip
        /// about it.
        kernel::steady_time last_seen;
        /// Time of the last message from the process.
        std::optional<kernel::steady_time> last_seen_directly;
        kernel::steady_time last_used;
    };

    using process_map = std::map<std::string, known_process>;

    bool is_self(kernel::process_id const& process) const;
    bool is_own(kernel::socket_address const& address) const;
    bool is_live(known_process const& it) const;
    void drop_expired();
    std::vector<config::distribution_member>
    members(bool agents, kernel::config_version version) const;
    std::vector<process_contact> contacts() const;

    kernel::process_id const self_;
    kernel::region_id const region_;
    config::config_distribution const distribution_;
    mutable std::mutex mutex_;
    std::vector<kernel::socket_address> own_addresses_;
    std::vector<kernel::socket_address> seeds_;
    std::vector<kernel::socket_address> listed_;
    process_map routers_;
    process_map agents_;
};

} // namespace endiveward::router

#endif
