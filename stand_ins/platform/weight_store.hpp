#ifndef ENDIVEWARD_STAND_INS_WEIGHT_STORE_HPP
#define ENDIVEWARD_STAND_INS_WEIGHT_STORE_HPP

#include <chrono>
#include <cstddef>
#include <optional>

namespace endiveward::stand_ins
{

/// Decides how long loading weights takes: the base time for up to two loads
/// at once, in proportion longer for more.
class weight_store
{
public:
    /// `limit` loads may run at once; 0 means no limit.
    explicit weight_store(std::chrono::milliseconds base, std::size_t limit = 0)
        : base_(base)
        , limit_(limit)
    {
    }

    /// Begins a load and gives its time; none if the limit is reached.
    std::optional<std::chrono::milliseconds> begin()
    {
        if (limit_ != 0 && loading_ >= limit_)
            return std::nullopt;
        constexpr std::size_t full_speed_loads = 2;
        ++loading_;
        if (loading_ > most_)
            most_ = loading_;
        if (loading_ <= full_speed_loads)
            return base_;
        return base_ * loading_ / full_speed_loads;
    }
    void end() { --loading_; }
    /// The most loads at once so far.
    std::size_t most() const { return most_; }

private:
    std::chrono::milliseconds base_;
    std::size_t limit_;
    std::size_t loading_ = 0;
    std::size_t most_ = 0;
};

} // namespace endiveward::stand_ins

#endif
