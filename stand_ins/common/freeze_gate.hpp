#ifndef ENDIVEWARD_STAND_INS_FREEZE_GATE_HPP
#define ENDIVEWARD_STAND_INS_FREEZE_GATE_HPP

#include <atomic>
#include <chrono>
#include <thread>

namespace endiveward::stand_ins
{

/// Holds back answers while a stand-in plays a frozen process.
class freeze_gate
{
public:
    void freeze_for(std::chrono::milliseconds time)
    {
        until_ = std::chrono::steady_clock::now() + time;
    }

    /// Returns when the stand-in is not frozen; a shorter time set later
    /// counts.
    void pass() const
    {
        constexpr std::chrono::milliseconds step{5};
        while (std::chrono::steady_clock::now() < until_.load())
            std::this_thread::sleep_for(step);
    }

private:
    std::atomic<std::chrono::steady_clock::time_point> until_{
        std::chrono::steady_clock::time_point{}};
};

} // namespace endiveward::stand_ins

#endif
