#ifndef ENDIVEWARD_WIRE_TYPES_PART_REPORT_HPP
#define ENDIVEWARD_WIRE_TYPES_PART_REPORT_HPP

#include <chrono>
#include <cstdint>
#include <vector>

namespace endiveward::wire
{

/// A prompt part that was in a request without output when its endpoint
/// crashed.
struct part_crash
{
    /// Key of the part and its model.
    std::uint64_t part = 0;
    /// Key of the endpoint and its incarnation, the same in all processes.
    std::uint64_t crash = 0;
    /// Index of the part in the prompt.
    std::uint32_t depth = 0;
    /// Time since the crash.
    std::chrono::milliseconds age{0};

    bool operator==(part_crash const&) const = default;
};

/// What a process has learned about prompt parts that may crash endpoints.
struct part_report
{
    std::vector<part_crash> crashes;
    /// Parts that were in a complete answer after such a crash.
    std::vector<std::uint64_t> served_parts;
    /// Crashes after which the endpoint was seen to run on.
    std::vector<std::uint64_t> refuted_crashes;

    /// Quarantined parts of which a trial request was just sent.
    std::vector<std::uint64_t> tried_parts;

    bool empty() const
    {
        return crashes.empty() && served_parts.empty() &&
               refuted_crashes.empty() && tried_parts.empty();
    }
    bool operator==(part_report const&) const = default;
};

} // namespace endiveward::wire

#endif
