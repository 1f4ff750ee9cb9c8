#ifndef ENDIVEWARD_QUOTA_USE_HISTORY_HPP
#define ENDIVEWARD_QUOTA_USE_HISTORY_HPP

#include "kernel/i_clock.hpp"
#include "quota/types/limit.hpp"

#include <chrono>
#include <optional>
#include <vector>

namespace endiveward::quota
{

/// The recent use of one workspace by all routers, from which the level of its
/// token bucket follows. No I/O.
class use_history
{
public:
    /// How far back use is known; reports of it live as long.
    static constexpr std::chrono::seconds horizon =
        window + std::chrono::seconds(2);

    /// Use may be added late. A negative amount takes use back.
    void add(kernel::steady_time at, double amount);
    /// Adds this multiple of all use of another history.
    void add(use_history const& other, double factor);
    void scale(double factor);
    /// Level of the bucket. Nothing is known from before `known_since`, when it
    /// may have been empty.
    double level(limit const& it, kernel::steady_time known_since,
                 kernel::steady_time now) const;
    double used_since(kernel::steady_time since) const;
    /// From now on another limit is in force, at this level.
    void restart(double level, kernel::steady_time now);
    void forget_expired(limit const& it, kernel::steady_time known_since,
                        kernel::steady_time now);
    bool empty() const { return entries_.empty(); }
    bool restarted_since(kernel::steady_time time) const
    {
        return base_ && base_->at >= time;
    }

private:
    struct entry
    {
        kernel::steady_time at{};
        double amount = 0;
    };

    struct base
    {
        kernel::steady_time at{};
        double level = 0;
    };

    /// Oldest first.
    std::vector<entry> entries_;
    /// A time at which the level is known.
    std::optional<base> base_;
};

} // namespace endiveward::quota

#endif
