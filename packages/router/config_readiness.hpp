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

/// Decides whether the configuration in force is recent enough to serve with:
/// at the start, and while this process may be cut off. No I/O. Safe for
/// concurrent use.
class config_readiness
{
    std::shared_ptr<kernel::i_clock const> clock_;

public:
    /// How long the start waits for the store, and for more than one process.
    static constexpr std::chrono::milliseconds startup_wait{300};
    static constexpr std::size_t required_hellos = 3;
    /// Limit for reaching a version that another process reported. Its holder
    /// may be gone; agents refuse calls with an older version than theirs.
    static constexpr std::chrono::seconds catch_up_limit{5};
    static constexpr std::chrono::seconds confirmation_limit{8};
    static constexpr std::chrono::seconds retry_after{1};

    config_readiness(std::shared_ptr<kernel::i_clock const> clock,
                     config::isolation_policy policy, bool has_store);

    /// Another process said hello with its version.
    void on_hello(kernel::config_version version);
    /// A process reported a version while `own` was in force. One that is not
    /// known here confirms nothing.
    void on_reported(kernel::config_version version,
                     kernel::config_version own_version);
    /// All that the store held at this time is in force.
    void on_store_read(kernel::steady_time when);
    /// A newer version came into force.
    void on_applied();

    /// Whether the start is complete; stays true.
    bool is_caught_up(kernel::config_version own_version);
    /// Why new requests are refused now; nothing if they are served.
    std::optional<kernel::error> refusal() const;

private:
    bool has_startup_information() const;
    void confirm(kernel::steady_time when);

    config::isolation_policy const policy_;
    kernel::steady_time const started_;
    mutable std::mutex mutex_;
    bool store_read_or_absent_;
    std::size_t hellos_ = 0;
    /// Highest version among the first answers.
    kernel::config_version target_ = 0;
    bool caught_up_ = false;
    kernel::steady_time confirmed_;
};

} // namespace endiveward::router

#endif
