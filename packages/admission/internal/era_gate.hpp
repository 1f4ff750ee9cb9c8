#ifndef ENDIVEWARD_ADMISSION_INTERNAL_ERA_GATE_HPP
#define ENDIVEWARD_ADMISSION_INTERNAL_ERA_GATE_HPP

#include "kernel/i_clock.hpp"
#include "kernel/post_function.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

namespace endiveward::storage
{
class i_table;
struct row;
} // namespace endiveward::storage

namespace endiveward::admission
{

/// Row that holds the newest era in which claims may be granted.
inline constexpr char const* open_era_key = "eras/claims";

/// Decides from which time after a restore of the table claims are granted.
/// Not thread-safe.
class era_gate
{
    kernel::i_clock const& clock_;
    storage::i_table& table_;
    kernel::post_function post_;

public:
    /// Time from the restore until claims are granted again. Within it the
    /// owners of lost claims notice the restore and write them again, and
    /// requests to the table that were sent before it end.
    static constexpr std::chrono::seconds wait{20};
    /// Longest time between two answers of the table for a process that may
    /// have to write claims again.
    static constexpr std::chrono::seconds notice_interval{5};

    /// The same for other processes. 1,200 agents then read 40 rows a second.
    static constexpr std::chrono::seconds idle_interval{30};

    era_gate(kernel::i_clock const& clock, storage::i_table& table,
             kernel::post_function post, std::chrono::milliseconds timeout);

    /// Whether claims may be granted in the current era.
    bool is_open() const;
    /// How long claims will not be granted at most, if the gate is not open.
    std::chrono::milliseconds remaining() const;
    /// Whether a restore would be known if it happened before the last two
    /// notice intervals.
    bool is_informed() const;
    /// Call when the table has answered.
    void on_answer();
    /// Reads the gate's row if it is due: always while the gate is not open,
    /// otherwise if the last answer is older than `notice_interval`, or without
    /// `watch` than `idle_interval`. Call about once a second.
    void tick(bool watch);

private:
    void read();
    void on_row(std::optional<storage::row> const& row);
    void write(std::uint64_t row_version);

    std::chrono::milliseconds const timeout_;
    std::uint64_t known_era_ = 0;
    std::uint64_t open_era_ = 0;
    /// When `known_era_` was first seen.
    kernel::steady_time era_since_;
    std::optional<kernel::steady_time> last_answer_;
    bool request_in_flight_ = false;
    std::shared_ptr<char> const lifetime_ = std::make_shared<char>();
};

} // namespace endiveward::admission

#endif
