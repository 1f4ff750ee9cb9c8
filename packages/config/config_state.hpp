#ifndef ENDIVEWARD_CONFIG_CONFIG_STATE_HPP
#define ENDIVEWARD_CONFIG_CONFIG_STATE_HPP

#include "config/i_config_state.hpp"
#include "config/types/change.hpp"
#include "kernel/snapshot.hpp"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace endiveward::config
{

class configuration;

/// Holds the configuration in force and the most recent changes. The body of an
/// update is a JSON array of changes, the first for version `from_version + 1`,
/// or a snapshot. Observers must not call `apply`, which holds a lock while it
/// notifies them.
class config_state : public i_config_state
{
public:
    /// Number of changes that are kept for `update_since`.
    static constexpr std::size_t default_max_recent_changes = 1024;

    explicit config_state(
        std::size_t max_recent_changes = default_max_recent_changes);

    std::shared_ptr<i_configuration const> current() const override;
    /// Errors besides `stale_configuration`: `invalid_request` for an update
    /// that does not parse or apply. An update that fails changes nothing.
    kernel::result<kernel::config_version>
    apply(wire::config_update const& update) override;
    wire::config_update
    update_since(kernel::config_version known) const override;
    void subscribe(observer on_change) override;

    /// The configuration in force with its data.
    std::shared_ptr<configuration const> compiled() const;

private:
    using compiled_pointer = std::shared_ptr<configuration const>;

    kernel::result<kernel::config_version>
    apply_snapshot(wire::config_update const& update);
    kernel::result<kernel::config_version>
    apply_changes(wire::config_update const& update);
    void publish(compiled_pointer const& next, std::deque<std::string> recent);

    std::size_t const max_recent_changes_;
    kernel::snapshot<configuration> current_;
    /// Serializes updates together with their notifications, so that observers
    /// see versions in order.
    std::mutex apply_mutex_;
    mutable std::mutex recent_mutex_;
    /// JSON of the most recent changes up to the version in force.
    std::deque<std::string> recent_;
    kernel::config_version recent_version_ = 0;
    std::vector<observer> observers_;
};

/// Creates the body of an update from the JSON texts of its changes.
std::string changes_body(std::vector<std::string> const& changes);

} // namespace endiveward::config

#endif
