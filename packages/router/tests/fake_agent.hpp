#ifndef ENDIVEWARD_ROUTER_TESTS_FAKE_AGENT_HPP
#define ENDIVEWARD_ROUTER_TESTS_FAKE_AGENT_HPP

#include "kernel/secure_random_source.hpp"
#include "kernel/thread_pool.hpp"
#include "kernel/types/result.hpp"
#include "wire/acceptor.hpp"
#include "wire/connection_options.hpp"
#include "wire/i_connection.hpp"
#include "wire/i_connection_observer.hpp"
#include "wire/i_local_identity.hpp"
#include "wire/types/wire_counters.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace endiveward::router
{

inline wire::cluster_key test_key()
{
    return {std::string(wire::cluster_key::min_bytes, 'k')};
}

/// A peer that uses the real wire package and answers with a script.
class fake_agent : public wire::i_connection_observer
{
public:
    using connection = std::shared_ptr<wire::i_connection>;
    /// Called for each message other than a heartbeat, on the connection's
    /// thread.
    using script = std::function<void(connection const&, wire::message const&)>;

    /// With the role `router` it has no endpoint, and `endpoint` is its process
    /// name.
    fake_agent(std::string const& endpoint, script handler,
               wire::process_role role = wire::process_role::agent,
               kernel::config_version version = 0)
        : script_(std::move(handler))
        , observer_(std::shared_ptr<void>(), this)
        , options_(std::make_shared<wire::connection_options>())
    {
        options_->key = test_key();
        options_->identity =
            std::make_shared<identity>(endpoint, role, version);
        options_->random = std::make_shared<kernel::secure_random_source>();
        options_->counters = std::make_shared<wire::wire_counters>();
        options_->observer = observer_;
        acceptor_ = std::make_unique<wire::acceptor>(pool_, options_);
        auto const res = acceptor_->listen("127.0.0.1", 0);
        REQUIRE(kernel::ok(res));
        port_ = kernel::value(res);
        pool_.start();
    }
    ~fake_agent() override { pool_.stop(); }

    std::uint16_t port() const { return port_; }

    /// Messages received so far, except heartbeats.
    std::vector<wire::message> received() const
    {
        std::lock_guard const lock(mutex_);
        return received_;
    }

    void send(wire::message const& msg)
    {
        std::lock_guard const lock(mutex_);
        last_->send(msg);
    }

    void send_heartbeat()
    {
        std::lock_guard const lock(mutex_);
        last_->send(wire::heartbeat{});
    }

    std::atomic<bool> answers_probes{true};
    std::atomic<int> probes{0};

    void on_open(connection const& conn) override
    {
        std::lock_guard const lock(mutex_);
        last_ = conn;
    }
    void on_closed(connection const&, kernel::error const&) override {}
    void on_message(connection const& conn, wire::message msg) override
    {
        if (auto const* it = std::get_if<wire::heartbeat>(&msg))
        {
            if (it->probe)
                on_probe(conn);
            return;
        }
        {
            std::lock_guard const lock(mutex_);
            received_.push_back(msg);
        }
        script_(conn, msg);
    }

private:
    void on_probe(connection const& conn)
    {
        ++probes;
        if (answers_probes)
            conn->send(wire::heartbeat{});
    }

    class identity : public wire::i_local_identity
    {
    public:
        identity(std::string const& endpoint, wire::process_role role,
                 kernel::config_version version)
            : endpoint_(endpoint)
            , role_(role)
            , version_(version)
        {
        }
        wire::hello describe() const override
        {
            wire::hello own;
            bool const is_agent = role_ == wire::process_role::agent;
            own.role = role_;
            own.process = kernel::process_id(
                is_agent ? "agent-" + endpoint_.str() : endpoint_.str());
            if (is_agent)
                own.endpoint = endpoint_;
            own.region = kernel::region_id("region");
            own.zone = kernel::zone_id("zone");
            own.config_version = version_;
            own.accepts_part_reports = is_agent;
            return own;
        }

    private:
        kernel::endpoint_id endpoint_;
        wire::process_role role_;
        kernel::config_version version_;
    };

    script script_;
    std::shared_ptr<wire::i_connection_observer> observer_;
    std::shared_ptr<wire::connection_options> options_;
    kernel::thread_pool pool_{1};
    std::unique_ptr<wire::acceptor> acceptor_;
    std::uint16_t port_ = 0;
    mutable std::mutex mutex_;
    std::vector<wire::message> received_;
    connection last_;
};

} // namespace endiveward::router

#endif
