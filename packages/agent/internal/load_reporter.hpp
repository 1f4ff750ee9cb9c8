#ifndef ENDIVEWARD_AGENT_LOAD_REPORTER_HPP
#define ENDIVEWARD_AGENT_LOAD_REPORTER_HPP

#include "agent/types/engine_load.hpp"
#include "kernel/snapshot.hpp"
#include "placement/recent_levels.hpp"
#include "wire/types/load_report.hpp"

#include <cstddef>
#include <memory>

namespace endiveward::admission
{
class i_admission_queue;
}

namespace endiveward::agent
{

/// Joins the admission queue's state and the engine's own report. Used on the
/// traffic thread, except for `latest`.
class load_reporter
{
    std::shared_ptr<admission::i_admission_queue> queue_;

public:
    load_reporter(std::shared_ptr<admission::i_admission_queue> queue,
                  kernel::incarnation agent, std::size_t max_capacity);

    /// The engine's newest report. Sets the queue's capacity.
    void update_engine_load(engine_load load);
    /// The engine does not answer: no model counts as loaded.
    void mark_engine_lost();
    bool serves(kernel::model_id const& model,
                kernel::model_version const& version) const;
    kernel::incarnation engine_incarnation() const;
    /// A call with these prefix levels was accepted.
    void record_levels(std::span<wire::prefix_level const> levels);
    /// Whether the engine's newest report counts.
    bool engine_up() const { return engine_up_; }

    /// The current state; also published for `latest`.
    wire::load_report report();
    /// The state last published; from any thread.
    wire::load_report latest() const { return *published_.load(); }

private:
    kernel::incarnation const agent_;
    std::size_t const max_capacity_;
    engine_load engine_;
    placement::recent_levels recent_;
    bool engine_up_ = false;
    kernel::snapshot<wire::load_report> published_;
};

} // namespace endiveward::agent

#endif
