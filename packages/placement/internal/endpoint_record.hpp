#ifndef ENDIVEWARD_PLACEMENT_INTERNAL_ENDPOINT_RECORD_HPP
#define ENDIVEWARD_PLACEMENT_INTERNAL_ENDPOINT_RECORD_HPP

#include "kernel/i_clock.hpp"
#include "placement/internal/hit_hints.hpp"
#include "placement/types/endpoint_status.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace endiveward::placement
{

struct placement_request;

/// State that a router keeps for an endpoint: status, load, hit hints and the
/// calls in flight from this router.
class endpoint_record
{
public:
    endpoint_record(endpoint_status const& status, std::size_t max_hints,
                    kernel::steady_time now);

    endpoint_status const& status() const { return status_; }
    /// Hash of the endpoint's id, used to compute its rendezvous weights.
    std::uint64_t rendezvous_seed() const { return rendezvous_seed_; }
    std::size_t hint_count() const { return hints_.size(); }

    void update(endpoint_status const& status, kernel::steady_time now);
    /// Updates the load and the hints. Returns false, and ignores the report,
    /// if it is from an earlier engine incarnation.
    bool apply_report(wire::load_report const& load, kernel::steady_time now);
    void record_hit(placement_request const& request, std::uint64_t hit_bytes,
                    bool will_run, kernel::steady_time now);

    /// Prompt bytes expected to be in the engine's prefix cache.
    std::uint64_t expected_hit(placement_request const& request,
                               kernel::steady_time now) const;

    /// Time since the last report that contained recently used levels, or since
    /// the engine restarted; none if neither has been observed.
    std::optional<std::chrono::duration<double>>
    levels_age(kernel::steady_time now) const;

    void on_sent(kernel::steady_time now);
    /// Removes the oldest of the calls that await a verdict.
    void on_verdict();
    /// `levels_computed`: the call ended with an accepted load report, so the
    /// engine has computed the levels of its prompt.
    void on_finished(placement_request const& request, bool levels_computed);

    bool can_serve(placement_request const& request) const;
    /// Expected queue wait of a call sent now.
    std::chrono::duration<double> expected_wait(kernel::steady_time now) const;
    /// Ratio of calls to capacity, the tie-breaker between endpoints with the
    /// same expected wait.
    double occupancy(kernel::steady_time now) const;

private:
    bool is_former_engine(kernel::incarnation engine) const;
    void change_engine(kernel::incarnation engine, kernel::steady_time now);
    std::size_t calls_awaiting_verdict(kernel::steady_time now) const;

    endpoint_status status_;
    std::uint64_t rendezvous_seed_;
    std::size_t max_hints_;
    hit_hints hints_;
    kernel::incarnation engine_ = 0; // last known incarnation; not reset to 0
    kernel::steady_time reported_at_;
    std::optional<kernel::steady_time> levels_reported_at_;
    std::array<kernel::incarnation, 4> former_engines_{};
    std::size_t next_former_engine_ = 0;
    std::size_t in_flight_ = 0;
    /// Times at which the calls that await a verdict were sent, oldest first.
    /// The last load report is assumed not to include these calls.
    std::deque<kernel::steady_time> awaiting_verdict_;
};

} // namespace endiveward::placement

#endif
