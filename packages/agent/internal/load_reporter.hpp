#ifndef ENDIVEWARD_AGENT_LOAD_REPORTER_HPP
#define ENDIVEWARD_AGENT_LOAD_REPORTER_HPP

#include "agent/types/engine_load.hpp"
#include "kernel/snapshot.hpp"
#include "placement/recent_levels.hpp"
#include "wire/types/load_report.hpp"

#include <chrono>
#include <cstddef>
#include <memory>

namespace endiveward::admission
{
class i_admission_queue;
}

namespace endiveward::agent
{

/// Builds the agent's load report from the state of the admission queue and the
/// engine's own report. Used on the traffic thread, except for `latest`.
class load_reporter
{
    std::shared_ptr<admission::i_admission_queue> queue_;

public:
    load_reporter(std::shared_ptr<admission::i_admission_queue> queue,
                  kernel::incarnation agent, std::size_t max_capacity);

    /// Stores the engine's newest report and updates the queue's capacity.
    void update_engine_load(engine_load load);
    /// Until the next engine report, no model counts as loaded.
    void mark_engine_unreachable();
    bool serves(kernel::model_id const& model,
                kernel::model_version const& version) const;
    kernel::incarnation engine_incarnation() const;
    /// Records the prefix levels of an accepted call.
    void record_prefix_levels(std::span<wire::prefix_level const> levels);
    /// Time until the endpoint takes the next call, because it is leaving, asks
    /// for a pause or names a limit.
    void set_endpoint_wait(std::chrono::milliseconds wait)
    {
        endpoint_wait_ = wait;
    }
    /// Whether the engine is reachable, so that its newest report is valid.
    bool engine_up() const { return engine_up_; }

    /// Builds a report of the current state and publishes it for `latest`.
    wire::load_report report();
    /// The last published report. Thread-safe.
    wire::load_report latest() const { return *published_.load(); }

private:
    kernel::incarnation const agent_incarnation_;
    std::size_t const max_capacity_;
    engine_load engine_;
    placement::recent_levels recent_levels_;
    bool engine_up_ = false;
    std::chrono::milliseconds endpoint_wait_{0};
    kernel::snapshot<wire::load_report> published_;
};

} // namespace endiveward::agent

#endif
