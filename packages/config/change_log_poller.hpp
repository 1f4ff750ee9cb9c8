#ifndef ENDIVEWARD_CONFIG_CHANGE_LOG_POLLER_HPP
#define ENDIVEWARD_CONFIG_CHANGE_LOG_POLLER_HPP

#include "config/change_log_reader.hpp"
#include "kernel/i_clock.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace endiveward::kernel
{
class i_random_source;
}

namespace endiveward::config
{

class i_config_state;

struct change_log_poller_options
{
    std::chrono::milliseconds interval{2000};
    /// Each pause is the interval changed by up to this share, so that the
    /// routers' reads spread.
    double jitter = 0.25;
    /// Called when the store goes down or comes back, on the thread that
    /// learnt it. The first result is reported too.
    std::function<void(bool up)> on_store_state;
};

/// Applies the platform's change log to the configuration in force. Call `tick`
/// regularly; it returns at once. `tick` must not be called concurrently.
/// Answers that arrive after destruction are dropped.
class change_log_poller
{
public:
    change_log_poller(change_log_reader reader,
                      std::shared_ptr<i_config_state> state,
                      std::shared_ptr<kernel::i_clock const> clock,
                      std::shared_ptr<kernel::i_random_source> random,
                      change_log_poller_options options);
    ~change_log_poller();
    change_log_poller(change_log_poller const&) = delete;
    change_log_poller& operator=(change_log_poller const&) = delete;

    /// Starts a read if one is due and none is running.
    void tick();
    /// When the next read is due.
    kernel::steady_time next_read() const;
    bool store_up() const;
    /// When the store last answered and all that it held was in force; nothing
    /// before.
    std::optional<kernel::steady_time> last_up_to_date() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace endiveward::config

#endif
