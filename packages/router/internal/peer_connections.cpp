#include "router/peer_connections.hpp"

#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "kernel/i_random_source.hpp"
#include "kernel/thread_pool.hpp"
#include "kernel/types/result.hpp"
#include "placement/i_placement.hpp"
#include "placement/types/endpoint_status.hpp"
#include "router/config_dissemination.hpp"
#include "router/internal/backoff.hpp"
#include "router/peer_channel.hpp"
#include "router/remote_endpoints.hpp"
#include "storage/i_vm_list.hpp"
#include "wire/connection_options.hpp"
#include "wire/connector.hpp"
#include "wire/i_connection.hpp"
#include "wire/i_local_identity.hpp"
#include "wire/report_relays.hpp"

#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>

namespace endiveward::router
{

namespace
{

log4cplus::Logger& logger()
{
    static auto instance =
        log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("endiveward.agents"));
    return instance;
}

// Enough to tell the isolation of this process from the loss of a single peer,
// at the cost of few bytes.
constexpr std::size_t processes_per_probe = 3;

std::string key_of(kernel::socket_address const& address)
{
    return fmt::format("{}:{}", address.host, address.port);
}

} // namespace

// Pending handlers belong to the thread pools, which this object owns, so they
// hold only weak references to it.
class peer_connections::impl
    : public std::enable_shared_from_this<peer_connections::impl>
{
    peer_connections_options const options_;

public:
    explicit impl(peer_connections_options options)
        : options_(std::move(options))
        , dissemination_(options_.self, options_.region, options_.clock,
                         options_.random)
        , remote_endpoints_(options_.clock)
        , vm_timer_(options_.control->context(0))
        , heartbeat_timer_(options_.control->context(0))
        , gossip_timer_(options_.control->context(0))
        , probe_timer_(options_.control->context(0))
    {
    }

    void set_own_address(kernel::socket_address const& address)
    {
        // Other processes cannot connect to 0.0.0.0 or ::.
        std::error_code ec;
        auto const ip = asio::ip::make_address(address.host, ec);
        if (!ec && !ip.is_unspecified())
            dissemination_.add_own_address(address);
    }

    void start(std::shared_ptr<wire::connection_options const> wire_options)
    {
        options_.configuration->subscribe(
            [weak = weak_from_this()](
                std::shared_ptr<config::i_configuration const> const& next)
            {
                if (auto const self = weak.lock())
                {
                    self->on_configuration(next->version());
                    self->schedule_config_push();
                }
            });
        asio::post(
            options_.control->context(0),
            [weak = weak_from_this(), wire_options = std::move(wire_options)]
            {
                auto const self = weak.lock();
                if (!self)
                    return;
                self->identity_ = wire_options->identity;
                self->connector_.emplace(wire_options);
                for (auto const& it : self->options_.seeds)
                    self->add_link(it, true);
                self->poll_vm_list();
                self->wait_for_heartbeat();
                self->wait_for_gossip();
                self->wait_for_probe();
            });
    }

    void stop()
    {
        std::vector<std::shared_ptr<peer_channel>> channels;
        {
            std::lock_guard const lock(mutex_);
            stopped_ = true;
            for (auto const& [conn, it] : peers_)
                channels.push_back(it.channel);
        }
        for (auto const& it : channels)
            it->connection()->close();
        asio::post(options_.control->context(0),
                   [weak = weak_from_this()]
                   {
                       auto const self = weak.lock();
                       if (!self)
                           return;
                       // The connector's options own the observer; the reset
                       // breaks the reference cycle.
                       self->connector_.reset();
                       self->vm_timer_.cancel();
                       self->heartbeat_timer_.cancel();
                       self->gossip_timer_.cancel();
                       self->probe_timer_.cancel();
                       for (auto& [key, link] : self->links_)
                           link.timer->cancel();
                   });
    }

    void send_part_report(wire::part_report const& report)
    {
        std::vector<std::shared_ptr<peer_channel>> channels;
        {
            std::lock_guard const lock(mutex_);
            channels.reserve(agents_.size());
            for (auto const& [endpoint, it] : agents_)
            {
                if (it.channel != nullptr &&
                    it.channel->peer().accepts_part_reports)
                    channels.push_back(it.channel);
            }
        }
        std::vector<wire::relay_candidate> open;
        open.reserve(channels.size());
        for (auto const& it : channels)
            open.push_back({it->peer().endpoint, it->connection().get()});
        for (auto* const it : wire::choose_report_relays(std::move(open)))
            it->send(report);
    }

    std::size_t open_agents() const
    {
        std::lock_guard const lock(mutex_);
        return agents_.size();
    }

    void on_open(std::shared_ptr<wire::i_connection> const& conn)
    {
        dissemination_.on_open(conn->peer());
        if (options_.on_hello && conn->peer().process != options_.self)
            options_.on_hello(conn->peer().config_version);
        std::lock_guard const lock(mutex_);
        peers_[conn.get()].channel = std::make_shared<peer_channel>(conn);
    }

    void on_message(std::shared_ptr<wire::i_connection> const& conn,
                    wire::message msg)
    {
        auto const channel = channel_of(conn);
        if (!channel)
            return;
        std::visit([&](auto& it) { on(channel, std::move(it)); }, msg);
    }

    void on_closed(std::shared_ptr<wire::i_connection> const& conn,
                   kernel::error const& reason)
    {
        peer lost;
        bool was_agent = false;
        {
            std::lock_guard const lock(mutex_);
            auto const it = peers_.find(conn.get());
            if (it == peers_.end())
                return;
            lost = std::move(it->second);
            peers_.erase(it);
            was_agent = remove_agent(lost);
        }
        dissemination_.on_closed(conn->peer());
        lost.channel->on_lost();
        if (was_agent)
            LOG4CPLUS_WARN(logger(), "connection to the agent of endpoint "
                                         << conn->peer().endpoint.str()
                                         << " closed: " << reason.message);
        if (lost.link.empty())
            return;
        asio::post(options_.control->context(0),
                   [weak = weak_from_this(), key = lost.link]
                   {
                       if (auto const self = weak.lock())
                           self->on_link_down(key);
                   });
    }

    std::shared_ptr<peer_channel>
    find(kernel::endpoint_id const& endpoint) const
    {
        std::lock_guard const lock(mutex_);
        auto const it = agents_.find(endpoint);
        return it == agents_.end() ? nullptr : it->second.channel;
    }

    void when_open(kernel::endpoint_id const& endpoint,
                   std::weak_ptr<void> owner, channel_handler const& handler)
    {
        std::shared_ptr<peer_channel> channel;
        {
            std::lock_guard const lock(mutex_);
            auto const it = agents_.find(endpoint);
            if (it != agents_.end())
                channel = it->second.channel;
            else
                add_open_waiter(endpoint, std::move(owner), handler);
        }
        if (channel)
            handler(channel);
    }

    std::vector<kernel::endpoint_id>
    connect_to_remote_endpoints(config::routing_key const& routing,
                                std::vector<kernel::endpoint_id> const& allowed)
    {
        std::vector<kernel::endpoint_id> opening;
        for (auto const& it : remote_endpoints_.choose(routing, allowed))
        {
            if (find(it.endpoint))
                continue;
            opening.push_back(it.endpoint);
            asio::post(options_.control->context(0),
                       [weak = weak_from_this(), it]
                       {
                           if (auto const self = weak.lock())
                               self->open_remote_link(it);
                       });
        }
        return opening;
    }

    void mark_suspect(kernel::endpoint_id const& endpoint)
    {
        auto const channel =
            update_agent(endpoint, [](agent& it) { it.suspect = true; });
        if (!channel)
            return;
        LOG4CPLUS_WARN(logger(),
                       "endpoint "
                           << endpoint.str()
                           << " sent no verdict in time; out of rotation until "
                              "its agent answers a probe");
        channel->send(wire::heartbeat{current_version(), {}, true});
    }

    void on_draining(kernel::endpoint_id const& endpoint)
    {
        update_agent(endpoint, [](agent& it) { it.load.draining = true; });
    }

    void catch_up(kernel::endpoint_id const& endpoint,
                  kernel::config_version version, std::weak_ptr<void> owner,
                  std::function<void()> handler)
    {
        {
            std::lock_guard const lock(mutex_);
            std::erase_if(config_waiters_,
                          [](auto const& it) { return it.owner.expired(); });
            config_waiters_.push_back(
                {version, std::move(owner), std::move(handler)});
        }
        auto const known = current_version();
        if (known >= version)
            on_configuration(known);
        else if (auto const channel = find(endpoint))
            channel->send(wire::config_request{known});
    }

    nlohmann::json dump() const
    {
        auto out = nlohmann::json::array();
        std::lock_guard const lock(mutex_);
        for (auto const& [id, it] : agents_)
            out.push_back({{"endpoint", id.str()},
                           {"zone", it.channel->peer().zone.str()},
                           {"available", is_available(it)},
                           {"suspect", it.suspect},
                           {"leaving", it.leaving},
                           {"draining", it.load.draining},
                           {"running", it.load.running},
                           {"queued", it.load.queued},
                           {"calls", it.channel->open_calls()}});
        return out;
    }

private:
    /// The peer of an open connection.
    struct peer
    {
        std::shared_ptr<peer_channel> channel;
        /// Key in `links_`; empty if the peer opened the connection.
        std::string link;
    };

    /// An agent with an open connection.
    struct agent
    {
        std::shared_ptr<peer_channel> channel;
        wire::load_report load;
        bool suspect = false;
        bool leaving = false;
    };

    /// An address that this router connects to.
    struct link
    {
        kernel::socket_address address;
        bool seed = false;
        bool listed = false;
        bool leaving = false;
        bool connected = false;
        /// The peer is a router; connected on demand.
        bool router = false;
        /// The peer is an agent of another region; connected on demand.
        bool remote = false;
        bool connecting = false;
        kernel::endpoint_id endpoint;
        backoff delays;
        std::unique_ptr<asio::steady_timer> timer;
    };

    struct open_waiter
    {
        std::weak_ptr<void> owner;
        channel_handler handler;
    };

    struct config_waiter
    {
        kernel::config_version version = 0;
        std::weak_ptr<void> owner;
        std::function<void()> handler;
    };

    kernel::config_version current_version() const
    {
        return options_.configuration->current()->version();
    }

    std::shared_ptr<peer_channel>
    channel_of(std::shared_ptr<wire::i_connection> const& conn) const
    {
        std::lock_guard const lock(mutex_);
        auto const it = peers_.find(conn.get());
        return it == peers_.end() ? nullptr : it->second.channel;
    }

    /// Requires the mutex to be held. Keeps an agent that has reconnected over
    /// another link.
    bool remove_agent(peer const& lost)
    {
        auto const it = agents_.find(lost.channel->peer().endpoint);
        if (it == agents_.end() || it->second.channel != lost.channel)
            return false;
        options_.placement->update_endpoint(status_of(it->second, false));
        agents_.erase(it);
        return true;
    }

    static bool is_available(agent const& it)
    {
        return !it.suspect && !it.leaving && !it.load.draining;
    }

    static placement::endpoint_status status_of(agent const& it, bool available)
    {
        auto const& peer = it.channel->peer();
        return {peer.endpoint, peer.region, peer.zone, available, it.load};
    }

    void add_open_waiter(kernel::endpoint_id const& endpoint,
                         std::weak_ptr<void> owner,
                         channel_handler const& handler)
    {
        std::erase_if(open_waiters_,
                      [](auto const& it) { return it.second.owner.expired(); });
        open_waiters_.emplace(endpoint, open_waiter{std::move(owner), handler});
    }

    /// Modifies the state of an agent and updates placement.
    template <typename F>
    std::shared_ptr<peer_channel>
    update_agent(kernel::endpoint_id const& endpoint, F const& modify)
    {
        // Placement is updated under the lock, so that changes reach it in the
        // order in which they were made.
        std::lock_guard const lock(mutex_);
        auto const it = agents_.find(endpoint);
        if (it == agents_.end())
            return nullptr;
        modify(it->second);
        options_.placement->update_endpoint(
            status_of(it->second, is_available(it->second)));
        return it->second.channel;
    }

    // Calls

    template <typename Message>
    void on_call_message(std::shared_ptr<peer_channel> const& channel,
                         Message msg)
    {
        if (!channel->dispatch(std::move(msg)) && options_.on_dropped)
            options_.on_dropped();
    }

    /// Placement receives the load with the message of the call. It is stored
    /// so that a later change of availability reports it.
    void record_load(peer_channel const& channel, wire::load_report const& load)
    {
        bool drains = false;
        {
            std::lock_guard const lock(mutex_);
            auto const it = agents_.find(channel.peer().endpoint);
            if (it == agents_.end())
                return;
            drains = load.draining && !it->second.load.draining;
            it->second.load = load;
        }
        if (drains)
            on_draining(channel.peer().endpoint);
    }

    void on(std::shared_ptr<peer_channel> const& channel, wire::verdict msg)
    {
        record_load(*channel, msg.load);
        request_if_newer(*channel, msg.config_version);
        on_call_message(channel, std::move(msg));
    }

    void on(std::shared_ptr<peer_channel> const& channel, wire::chunk msg)
    {
        on_call_message(channel, std::move(msg));
    }

    void on(std::shared_ptr<peer_channel> const& channel, wire::call_end msg)
    {
        record_load(*channel, msg.load);
        on_call_message(channel, std::move(msg));
    }

    // Control

    void on(std::shared_ptr<peer_channel> const& channel, wire::heartbeat msg)
    {
        if (channel->peer().role == wire::process_role::agent)
            update_agent(channel->peer().endpoint,
                         [&](agent& it)
                         {
                             it.load = std::move(msg.load);
                             it.suspect = false;
                         });
        if (msg.probe)
            channel->send(wire::heartbeat{current_version(), {}, false});
        request_if_newer(*channel, msg.config_version);
    }

    void on(std::shared_ptr<peer_channel> const& channel, wire::draining)
    {
        on_draining(channel->peer().endpoint);
    }

    void on(std::shared_ptr<peer_channel> const& channel,
            wire::config_request const& msg)
    {
        dissemination_.on_version(channel->peer().process, msg.known_version);
        channel->send(options_.configuration->update_since(msg.known_version));
    }

    void on(std::shared_ptr<peer_channel> const& channel,
            wire::config_update const& msg)
    {
        dissemination_.on_version(channel->peer().process, msg.to_version);
        auto const res = options_.configuration->apply(msg);
        if (kernel::ok(res))
            return;
        auto const& err = kernel::failure(res);
        if (err.kind == kernel::error_kind::stale_configuration)
            channel->send(wire::config_request{current_version()});
        else
            LOG4CPLUS_ERROR(logger(), "configuration update to version "
                                          << msg.to_version
                                          << " refused: " << err.message);
    }

    void on(std::shared_ptr<peer_channel> const& channel,
            wire::gossip const& msg)
    {
        dissemination_.on_gossip(msg);
        request_if_newer(*channel, msg.config_version);
        // Informs a peer with an older version of the newer one. The peer does
        // not answer in turn, because the version it receives is the higher
        // one.
        if (msg.config_version < current_version())
            channel->send(wire::gossip{current_version(), {}});
    }

    void on(std::shared_ptr<peer_channel> const&, wire::part_report const& msg)
    {
        if (options_.on_part_report)
            options_.on_part_report(msg);
    }

    /// Messages that routers do not handle.
    template <typename Message>
    void on(std::shared_ptr<peer_channel> const&, Message const&)
    {
        if (options_.on_dropped)
            options_.on_dropped();
    }

    void request_if_newer(peer_channel& channel, kernel::config_version version)
    {
        dissemination_.on_version(channel.peer().process, version);
        if (options_.on_reported && channel.peer().process != options_.self)
            options_.on_reported(version);
        auto const known = current_version();
        if (version > known)
            channel.send(wire::config_request{known});
    }

    void on_configuration(kernel::config_version version)
    {
        std::vector<config_waiter> ready;
        {
            std::lock_guard const lock(mutex_);
            std::erase_if(config_waiters_,
                          [&](auto& it)
                          {
                              if (it.version > version)
                                  return false;
                              ready.push_back(std::move(it));
                              return true;
                          });
        }
        for (auto const& it : ready)
        {
            if (auto const owner = it.owner.lock())
                it.handler();
        }
    }

    // Dissemination of configuration versions, on the control thread

    void schedule_config_push()
    {
        asio::post(options_.control->context(0),
                   [weak = weak_from_this()]
                   {
                       if (auto const self = weak.lock())
                           self->push_configuration();
                   });
    }

    void push_configuration()
    {
        if (!connector_)
            return;
        for (auto const& it : dissemination_.push_targets(current_version()))
        {
            auto const channel = channel_to(it.contact.process);
            // The hello of a new connection carries the version, and the peer
            // requests the update.
            if (!channel)
            {
                open_router_link(it.contact.address);
                continue;
            }
            channel->send(
                options_.configuration->update_since(it.known_version));
            dissemination_.on_used(it.contact.process);
            if (options_.on_update_sent)
                options_.on_update_sent();
        }
    }

    void wait_for_gossip()
    {
        gossip_timer_.expires_after(options_.gossip_interval);
        gossip_timer_.async_wait(
            [weak = weak_from_this()](std::error_code ec)
            {
                auto const self = weak.lock();
                if (ec || !self || !self->connector_)
                    return;
                self->close_idle_routers();
                self->close_idle_remotes();
                self->exchange_gossip();
                self->wait_for_gossip();
            });
    }

    void wait_for_probe()
    {
        if (options_.probe_interval.count() == 0)
            return;
        probe_timer_.expires_after(options_.probe_interval);
        probe_timer_.async_wait(
            [weak = weak_from_this()](std::error_code ec)
            {
                auto const self = weak.lock();
                if (ec || !self || !self->connector_)
                    return;
                self->probe_random_processes();
                self->wait_for_probe();
            });
    }

    void probe_random_processes()
    {
        std::vector<std::shared_ptr<peer_channel>> all;
        {
            std::lock_guard const lock(mutex_);
            for (auto const& [conn, it] : peers_)
                all.push_back(it.channel);
        }
        auto const count = std::min(processes_per_probe, all.size());
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const step = options_.random->next() % (all.size() - i);
            std::swap(all[i], all[i + step]);
            all[i]->send(wire::heartbeat{current_version(), {}, true});
        }
    }

    void exchange_gossip()
    {
        for (auto const& it : dissemination_.gossip_contacts())
        {
            if (auto const channel = channel_to(it.process))
                send_gossip(*channel);
            else
                open_router_link(it.address);
        }
    }

    void send_gossip(peer_channel& channel)
    {
        channel.send(dissemination_.make_gossip(current_version(),
                                                identity_->describe()));
        dissemination_.on_used(channel.peer().process);
    }

    /// Closes only connections that this router opened; the peer closes the
    /// others.
    void close_idle_routers()
    {
        for (auto const& it : dissemination_.idle_routers())
        {
            for (auto const& channel : channels_to(it, true))
                channel->connection()->close();
        }
    }

    std::shared_ptr<peer_channel>
    channel_to(kernel::process_id const& process) const
    {
        auto const all = channels_to(process, false);
        return all.empty() ? nullptr : all.front();
    }

    std::vector<std::shared_ptr<peer_channel>>
    channels_to(kernel::process_id const& process, bool only_own) const
    {
        std::vector<std::shared_ptr<peer_channel>> out;
        if (process.empty())
            return out;
        std::lock_guard const lock(mutex_);
        for (auto const& [conn, it] : peers_)
        {
            if (it.channel->peer().process == process &&
                !(only_own && it.link.empty()))
                out.push_back(it.channel);
        }
        return out;
    }

    void open_router_link(kernel::socket_address const& address)
    {
        if (address.port == 0)
            return;
        auto const key = key_of(address);
        auto& found = links_[key];
        if (!found.timer)
        {
            found.address = address;
            found.router = true;
            found.timer = std::make_unique<asio::steady_timer>(
                options_.control->context(0));
        }
        if (found.router && !found.connected && !found.connecting)
            connect(key);
    }

    // Agents of other regions, on the control thread

    void open_remote_link(listed_agent const& agent)
    {
        if (!connector_)
            return;
        auto const key = key_of(agent.address);
        auto& found = links_[key];
        if (!found.timer)
        {
            found.address = agent.address;
            found.endpoint = agent.endpoint;
            found.remote = true;
            found.timer = std::make_unique<asio::steady_timer>(
                options_.control->context(0));
        }
        if (found.remote && !found.connected && !found.connecting)
            connect(key);
    }

    void close_idle_remotes()
    {
        std::vector<std::shared_ptr<peer_channel>> idle;
        std::erase_if(links_,
                      [&](auto const& it)
                      {
                          auto const& found = it.second;
                          if (!found.remote || !found.connected ||
                              !remote_endpoints_.is_idle(found.endpoint))
                              return false;
                          auto const channel = find(found.endpoint);
                          // A long call may still be running when its endpoint
                          // counts as idle.
                          if (!channel || channel->open_calls() > 0)
                              return false;
                          idle.push_back(channel);
                          return true;
                      });
        for (auto const& it : idle)
            it->connection()->close();
    }

    // Membership, on the control thread

    void add_link(kernel::socket_address const& address, bool seed)
    {
        auto const key = key_of(address);
        auto& added = links_[key];
        added.address = address;
        added.seed = added.seed || seed;
        added.remote = false;
        if (added.timer)
            return;
        added.timer =
            std::make_unique<asio::steady_timer>(options_.control->context(0));
        connect_later(key);
    }

    void connect_later(std::string const& key)
    {
        auto const it = links_.find(key);
        if (it == links_.end() || !connector_)
            return;
        it->second.timer->expires_after(
            it->second.delays.next(*options_.random));
        it->second.timer->async_wait(
            [weak = weak_from_this(), key](std::error_code ec)
            {
                auto const self = weak.lock();
                if (!ec && self)
                    self->connect(key);
            });
    }

    void connect(std::string const& key)
    {
        auto const it = links_.find(key);
        if (it == links_.end() || !connector_)
            return;
        it->second.connecting = true;
        auto const& address = it->second.address;
        connector_->connect(
            options_.traffic->next_context(), address.host, address.port,
            [weak = weak_from_this(), key](
                kernel::result<std::shared_ptr<wire::i_connection>> const& res)
            {
                if (auto const self = weak.lock())
                    self->on_connected(key, res);
            });
    }

    /// Runs on the connection's thread.
    void
    on_connected(std::string const& key,
                 kernel::result<std::shared_ptr<wire::i_connection>> const& res)
    {
        if (!kernel::ok(res))
        {
            asio::post(options_.control->context(0),
                       [weak = weak_from_this(), key]
                       {
                           if (auto const self = weak.lock())
                               self->on_link_down(key);
                       });
            return;
        }
        auto const& conn = kernel::value(res);
        if (!register_link(key, conn))
        {
            conn->close();
            return;
        }
        if (conn->peer().role == wire::process_role::agent)
            add_agent(conn);
        auto const channel = channel_of(conn);
        request_if_newer(*channel, conn->peer().config_version);
        asio::post(options_.control->context(0),
                   [weak = weak_from_this(), key, channel]
                   {
                       if (auto const self = weak.lock())
                           self->on_link_up(key, *channel);
                   });
    }

    /// Returns false if this process is stopping.
    bool register_link(std::string const& key,
                       std::shared_ptr<wire::i_connection> const& conn)
    {
        std::lock_guard const lock(mutex_);
        if (stopped_)
            return false;
        peers_.at(conn.get()).link = key;
        return true;
    }

    void add_agent(std::shared_ptr<wire::i_connection> const& conn)
    {
        auto const& peer = conn->peer();
        std::vector<open_waiter> waiters;
        std::shared_ptr<peer_channel> channel;
        {
            std::lock_guard const lock(mutex_);
            channel = peers_.at(conn.get()).channel;
            agents_[peer.endpoint] = {channel, peer.load, false, false};
            auto const [begin, end] = open_waiters_.equal_range(peer.endpoint);
            for (auto it = begin; it != end; ++it)
                waiters.push_back(std::move(it->second));
            open_waiters_.erase(begin, end);
        }
        update_agent(peer.endpoint, [](agent&) {});
        LOG4CPLUS_INFO(logger(), "connected to the agent of endpoint "
                                     << peer.endpoint.str());
        for (auto const& it : waiters)
        {
            if (auto const owner = it.owner.lock())
                it.handler(channel);
        }
    }

    void on_link_up(std::string const& key, peer_channel& channel)
    {
        auto const it = links_.find(key);
        if (it == links_.end())
            return;
        auto& found = it->second;
        found.connecting = false;
        found.connected = channel.connection()->is_open();
        found.endpoint = channel.peer().endpoint;
        found.router = channel.peer().role == wire::process_role::router;
        found.delays.reset();
        if (found.router)
            on_router_link(found, channel);
        else
            apply_leaving(found);
    }

    void on_router_link(link const& found, peer_channel& channel)
    {
        auto const& process = channel.peer().process;
        if (process == options_.self)
        {
            dissemination_.add_own_address(found.address);
            channel.connection()->close();
            return;
        }
        if (found.seed)
            dissemination_.add_seed(found.address);
        dissemination_.on_address(process, found.address);
        send_gossip(channel);
    }

    void apply_leaving(link const& it)
    {
        if (it.endpoint.empty())
            return;
        update_agent(it.endpoint,
                     [&](agent& target) { target.leaving = it.leaving; });
    }

    void wait_for_heartbeat()
    {
        heartbeat_timer_.expires_after(options_.heartbeat_interval);
        heartbeat_timer_.async_wait(
            [weak = weak_from_this()](std::error_code ec)
            {
                auto const self = weak.lock();
                if (ec || !self)
                    return;
                self->send_heartbeats();
                self->wait_for_heartbeat();
            });
    }

    void send_heartbeats()
    {
        std::vector<std::shared_ptr<peer_channel>> idle;
        {
            std::lock_guard const lock(mutex_);
            for (auto const& [conn, it] : peers_)
            {
                if (!it.channel->sent_since_last_check())
                    idle.push_back(it.channel);
            }
        }
        for (auto const& it : idle)
            it->send(wire::heartbeat{current_version(), {}, false});
    }

    void poll_vm_list()
    {
        if (!options_.vm_list || !connector_)
            return;
        options_.vm_list->list(
            options_.vm_timeout,
            [weak =
                 weak_from_this()](kernel::result<std::vector<storage::vm>> res)
            {
                auto const self = weak.lock();
                if (!self)
                    return;
                asio::post(self->options_.control->context(0),
                           [self, res = std::move(res)]
                           { self->on_vm_list(res); });
            });
    }

    void on_vm_list(kernel::result<std::vector<storage::vm>> const& res)
    {
        if (kernel::ok(res))
            apply_vm_list(kernel::value(res));
        // Waits between 0.5 and 1.5 intervals, so that routers that started
        // together do not poll at the same time.
        auto const interval = options_.vm_poll_interval;
        auto const jitter = std::chrono::milliseconds(
            options_.random->next() %
            (static_cast<std::uint64_t>(interval.count()) + 1));
        vm_timer_.expires_after(interval / 2 + jitter);
        vm_timer_.async_wait(
            [weak = weak_from_this()](std::error_code ec)
            {
                auto const self = weak.lock();
                if (!ec && self)
                    self->poll_vm_list();
            });
    }

    void apply_vm_list(std::vector<storage::vm> const& vms)
    {
        std::set<std::string> listed;
        std::vector<kernel::socket_address> routers;
        std::vector<listed_agent> remotes;
        for (auto const& it : vms)
        {
            if (it.role == storage::vm_role::agent &&
                it.region != options_.region)
            {
                if (!it.leaving)
                    remotes.push_back({it.endpoint, {it.address, it.port}});
                apply_remote_leaving(it);
            }
            if (it.role == storage::vm_role::router && !it.leaving)
                routers.push_back({it.address, it.port});
            if (it.role != storage::vm_role::agent ||
                it.region != options_.region)
                continue;
            kernel::socket_address const address{it.address, it.port};
            auto const key = key_of(address);
            listed.insert(key);
            add_link(address, false);
            auto& found = links_[key];
            found.listed = true;
            if (std::exchange(found.leaving, it.leaving) != it.leaving)
                apply_leaving(found);
        }
        dissemination_.set_listed(routers);
        remote_endpoints_.set_listed(remotes);
        remove_unlisted(listed);
    }

    void apply_remote_leaving(storage::vm const& vm)
    {
        auto const it = links_.find(key_of({vm.address, vm.port}));
        if (it == links_.end() || it->second.leaving == vm.leaving)
            return;
        it->second.leaving = vm.leaving;
        apply_leaving(it->second);
    }

    /// The VM list may be out of date, so an agent with an open connection is
    /// kept.
    void remove_unlisted(std::set<std::string> const& listed)
    {
        std::erase_if(
            links_,
            [&](auto& it)
            {
                auto& [key, found] = it;
                if (found.seed || listed.contains(key) ||
                    (found.connected &&
                     (found.router || find(found.endpoint))) ||
                    (found.connecting && (found.router || found.remote)))
                    return false;
                found.timer->cancel();
                if (!found.endpoint.empty())
                    options_.placement->remove_endpoint(found.endpoint);
                return true;
            });
    }

    void on_link_down(std::string const& key)
    {
        auto const it = links_.find(key);
        if (it == links_.end())
            return;
        it->second.connected = false;
        it->second.connecting = false;
        if (it->second.remote)
            remote_endpoints_.on_failed(it->second.endpoint);
        else if (!it->second.router)
            connect_later(key);
    }

    config_dissemination dissemination_;
    remote_endpoints remote_endpoints_;
    mutable std::mutex mutex_;
    bool stopped_ = false;
    std::unordered_map<wire::i_connection const*, peer> peers_;
    std::unordered_map<kernel::endpoint_id, agent> agents_;
    std::unordered_multimap<kernel::endpoint_id, open_waiter> open_waiters_;
    std::vector<config_waiter> config_waiters_;

    // Used only on the control thread.
    std::optional<wire::connector> connector_;
    std::map<std::string, link> links_;
    asio::steady_timer vm_timer_;
    asio::steady_timer heartbeat_timer_;
    asio::steady_timer gossip_timer_;
    asio::steady_timer probe_timer_;
    std::shared_ptr<wire::i_local_identity const> identity_;
};

peer_connections::peer_connections(peer_connections_options options)
    : impl_(std::make_shared<impl>(std::move(options)))
{
}

peer_connections::~peer_connections() = default;

void peer_connections::set_own_address(kernel::socket_address const& address)
{
    impl_->set_own_address(address);
}

void peer_connections::start(
    std::shared_ptr<wire::connection_options const> wire_options)
{
    impl_->start(std::move(wire_options));
}

void peer_connections::stop()
{
    impl_->stop();
}

void peer_connections::send_part_report(wire::part_report const& report)
{
    impl_->send_part_report(report);
}

std::size_t peer_connections::open_agents() const
{
    return impl_->open_agents();
}

void peer_connections::on_open(std::shared_ptr<wire::i_connection> const& conn)
{
    impl_->on_open(conn);
}

void peer_connections::on_message(
    std::shared_ptr<wire::i_connection> const& conn, wire::message msg)
{
    impl_->on_message(conn, std::move(msg));
}

void peer_connections::on_closed(
    std::shared_ptr<wire::i_connection> const& conn,
    kernel::error const& reason)
{
    impl_->on_closed(conn, reason);
}

std::shared_ptr<peer_channel>
peer_connections::find(kernel::endpoint_id const& endpoint) const
{
    return impl_->find(endpoint);
}

void peer_connections::when_open(kernel::endpoint_id const& endpoint,
                                 std::weak_ptr<void> owner,
                                 channel_handler const& handler)
{
    impl_->when_open(endpoint, std::move(owner), handler);
}

std::vector<kernel::endpoint_id> peer_connections::connect_to_remote_endpoints(
    config::routing_key const& routing,
    std::vector<kernel::endpoint_id> const& allowed)
{
    return impl_->connect_to_remote_endpoints(routing, allowed);
}

void peer_connections::mark_suspect(kernel::endpoint_id const& endpoint)
{
    impl_->mark_suspect(endpoint);
}

void peer_connections::on_draining(kernel::endpoint_id const& endpoint)
{
    impl_->on_draining(endpoint);
}

void peer_connections::catch_up(kernel::endpoint_id const& endpoint,
                                kernel::config_version version,
                                std::weak_ptr<void> owner,
                                std::function<void()> handler)
{
    impl_->catch_up(endpoint, version, std::move(owner), std::move(handler));
}

nlohmann::json peer_connections::dump() const
{
    return impl_->dump();
}

} // namespace endiveward::router
