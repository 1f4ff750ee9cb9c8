#ifndef ENDIVEWARD_CONFIG_I_CONFIG_STATE_HPP
#define ENDIVEWARD_CONFIG_I_CONFIG_STATE_HPP

#include "kernel/types/identifiers.hpp"
#include "kernel/types/result.hpp"
#include "wire/types/config_update.hpp"

#include <functional>
#include <memory>

namespace endiveward::config
{

class i_configuration;

/// The configuration in force in this process. Its version never decreases.
/// Safe for concurrent use.
class i_config_state
{
public:
    using observer =
        std::function<void(std::shared_ptr<i_configuration const>)>;

    virtual ~i_config_state() = default;

    /// Never null; version 0 is the empty configuration.
    virtual std::shared_ptr<i_configuration const> current() const = 0;

    /// Applies an update from a peer or from the store. An update that does not
    /// raise the version is ignored. Returns the version in force afterwards,
    /// or `stale_configuration` if the update starts above the version in
    /// force; the caller should then request one that starts there.
    virtual kernel::result<kernel::config_version>
    apply(wire::config_update const& update) = 0;

    /// The changes after a version, or a snapshot if they are no longer held.
    virtual wire::config_update
    update_since(kernel::config_version known) const = 0;

    /// Registers an observer that is called after each update, on the thread
    /// that applied it.
    virtual void subscribe(observer on_change) = 0;
};

} // namespace endiveward::config

#endif
