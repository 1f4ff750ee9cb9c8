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
    /// Each interval varies at random by up to this fraction, so that the reads
    /// of the routers are spread out.
    double jitter = 0.25;
    /// Called when the store becomes unavailable or available again, on the
    /// thread that received the answer. The first result is reported too.
    std::function<void(bool up)> on_store_state;
};

/// Polls the platform's change log and applies its changes to the configuration
/// in force. `tick` must be called regularly, but not concurrently; it does not
/// block. Answers that arrive after destruction are dropped.
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
    /// Time of the last read after which all changes in the store were in
    /// force; nothing before the first one.
    std::optional<kernel::steady_time> last_up_to_date() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace endiveward::config

#endif
