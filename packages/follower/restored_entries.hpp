#ifndef ENDIVEWARD_FOLLOWER_RESTORED_ENTRIES_HPP
#define ENDIVEWARD_FOLLOWER_RESTORED_ENTRIES_HPP

#include "gateway/types/endpoint_entry.hpp"
#include "kernel/i_clock.hpp"

#include <map>
#include <optional>
#include <string>

namespace endiveward::follower
{

/// Decides which endpoints are used after the store was restored from a copy
/// that is some seconds old: what this process knows to be newer than the copy
/// is held for a time, in which the endpoints register again.
class restored_entries
{
public:
    using entry_map = std::map<std::string, gateway::endpoint_entry>;

    /// What the first full read of a new era has changed.
    struct outcome
    {
        entry_map entries;
        std::size_t held_draining = 0;
        std::size_t held_removed = 0;
        std::size_t held_missing = 0;
    };

    explicit restored_entries(kernel::i_clock const& clock);

    /// The row was added or changed after the first full read of its era.
    void on_changed(std::string const& key);
    /// The row was removed after the first full read of its era. `last` is null
    /// if the entry was not in use.
    void on_removed(std::string const& key,
                    gateway::endpoint_entry const* last);
    /// Returns the entries to use, given those in use and those that the first
    /// full read of a new era contains.
    outcome on_restored(entry_map const& known, entry_map const& copy);
    /// Ends the holds that are over: their entries become those of the table.
    /// Returns the number of entries concerned.
    std::size_t release(entry_map& entries);
    /// When the next hold is over; none if nothing is held.
    std::optional<kernel::steady_time> next_release() const;

private:
    struct removed_entry
    {
        kernel::incarnation incarnation = 0;
        kernel::steady_time at{};
    };

    struct held_entry
    {
        /// What the table contains; none if there is no row.
        std::optional<gateway::endpoint_entry> in_table;
        kernel::steady_time until{};
    };

    void forget_removed();

    kernel::i_clock const& clock_;
    std::map<std::string, removed_entry> removed_;
    std::map<std::string, held_entry> held_;
};

} // namespace endiveward::follower

#endif
