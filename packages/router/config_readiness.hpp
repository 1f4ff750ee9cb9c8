#ifndef ENDIVEWARD_ROUTER_CONFIG_READINESS_HPP
#define ENDIVEWARD_ROUTER_CONFIG_READINESS_HPP

#include "config/types/router_settings.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/error.hpp"
#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>

namespace endiveward::router
{

/// Decides whether the configuration in force is recent enough to serve
/// requests with: at startup, and while this process may be isolated from the
/// cluster. No I/O. Safe for concurrent use.
class config_readiness
{
    std::shared_ptr<kernel::i_clock const> clock_;

public:
    /// How long startup waits for the store and for `required_hellos`
    /// processes.
    static constexpr std::chrono::milliseconds startup_wait{300};
    static constexpr std::size_t required_hellos = 3;
    /// How long startup waits for the highest version that another process
    /// reported; limited because that process may be gone. Agents refuse calls
    /// with an older version than theirs.
    static constexpr std::chrono::seconds catch_up_limit{5};
    /// With `isolation_policy::refuse`, requests are refused when the
    /// configuration has not been confirmed for longer than this.
    static constexpr std::chrono::seconds confirmation_limit{8};
    static constexpr std::chrono::seconds retry_after{1};

    config_readiness(std::shared_ptr<kernel::i_clock const> clock,
                     config::isolation_policy policy, bool has_store);

    /// A connection to another process opened; its hello has this version.
    void on_hello(kernel::config_version version);
    /// A process reported `version` while `own_version` was in force. A version
    /// that is newer than `own_version` confirms nothing.
    void on_reported(kernel::config_version version,
                     kernel::config_version own_version);
    /// Everything that the store held at this time is in force.
    void on_store_read(kernel::steady_time when);
    /// A newer version came into force.
    void on_applied();

    /// Whether startup is complete; stays true.
    bool is_caught_up(kernel::config_version own_version);
    /// Returns the error with which new requests are currently refused, or
    /// nothing if they are served.
    std::optional<kernel::error> refusal() const;

private:
    bool has_startup_information() const;
    void confirm(kernel::steady_time when);

    config::isolation_policy const policy_;
    kernel::steady_time const started_at_;
    mutable std::mutex mutex_;
    bool store_read_or_absent_;
    std::size_t hellos_ = 0;
    /// Highest version among the counted hellos.
    kernel::config_version target_version_ = 0;
    bool caught_up_ = false;
    kernel::steady_time confirmed_at_;
};

} // namespace endiveward::router

#endif
