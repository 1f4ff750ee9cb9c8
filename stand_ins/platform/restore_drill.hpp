#ifndef ENDIVEWARD_STAND_INS_RESTORE_DRILL_HPP
#define ENDIVEWARD_STAND_INS_RESTORE_DRILL_HPP

#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace endiveward::stand_ins
{

struct restore_options
{
    /// Time between drills; 0 means that none is scheduled.
    std::chrono::milliseconds interval{0};
    /// Age of the copy when the store goes away.
    std::chrono::milliseconds copy_age{3000};
    /// How long the store is away.
    std::chrono::milliseconds away{500};
};

/// Decides when the store is away and to which time it then goes back. Not
/// safe for concurrent use.
class restore_drill
{
public:
    restore_drill(restore_options const& options, kernel::steady_time now);

    /// The store goes away now. No effect if it is away.
    void start(std::chrono::milliseconds copy_age,
               std::chrono::milliseconds away, kernel::steady_time now);
    /// Call before each operation. Gives the time of the copy once when the
    /// store comes back.
    std::optional<kernel::steady_time> advance(kernel::steady_time now);
    bool is_away() const { return back_at_.has_value(); }
    /// Number of copies the store has come back from, plus one.
    std::uint64_t era() const { return era_; }

private:
    restore_options const options_;
    std::optional<kernel::steady_time> next_;
    /// Set while the store is away.
    std::optional<kernel::steady_time> back_at_;
    kernel::steady_time copy_time_;
    std::uint64_t era_ = 1;
};

} // namespace endiveward::stand_ins

#endif
