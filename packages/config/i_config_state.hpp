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

    /// Applies an update of a peer or of the store. An update that does not
    /// raise the version is ignored. Gives the version in force afterwards; an
    /// update that starts above it gives `stale_configuration`: request one
    /// that starts at the version in force.
    virtual kernel::result<kernel::config_version>
    apply(wire::config_update const& update) = 0;

    /// The changes after a version, or a snapshot if they are not kept.
    virtual wire::config_update
    update_since(kernel::config_version known) const = 0;

    /// Called after each change, on the thread that applied it.
    virtual void subscribe(observer on_change) = 0;
};

} // namespace endiveward::config

#endif
