#include "agent/internal/load_reporter.hpp"

#include "admission/i_admission_queue.hpp"

#include <algorithm>
#include <utility>

namespace endiveward::agent
{

load_reporter::load_reporter(
    std::shared_ptr<admission::i_admission_queue> queue,
    kernel::incarnation agent, std::size_t max_capacity)
    : queue_(std::move(queue))
    , agent_incarnation_(agent)
    , max_capacity_(max_capacity)
    , published_(std::make_shared<wire::load_report const>())
{
    queue_->set_capacity(max_capacity_);
    report();
}

void load_reporter::update_engine_load(engine_load load)
{
    // Prefix levels of the previous incarnation do not describe the cache of
    // the new one.
    if (load.incarnation != engine_.incarnation)
        recent_levels_.clear();
    engine_ = std::move(load);
    engine_up_ = true;
    // If the engine reports no capacity, only the configured limit applies.
    auto const capacity = engine_.capacity == 0
                              ? max_capacity_
                              : std::min(engine_.capacity, max_capacity_);
    queue_->set_capacity(capacity);
    report();
}

void load_reporter::mark_engine_unreachable()
{
    engine_.models.clear();
    engine_up_ = false;
    report();
}

bool load_reporter::serves(kernel::model_id const& model,
                           kernel::model_version const& version) const
{
    return std::find(engine_.models.begin(), engine_.models.end(),
                     wire::loaded_model{model, version}) !=
           engine_.models.end();
}

kernel::incarnation load_reporter::engine_incarnation() const
{
    return engine_.incarnation;
}

void load_reporter::record_prefix_levels(
    std::span<wire::prefix_level const> levels)
{
    recent_levels_.add(levels);
}

wire::load_report load_reporter::report()
{
    wire::load_report load;
    load.agent_incarnation = agent_incarnation_;
    load.engine_incarnation = engine_.incarnation;
    load.running = static_cast<std::uint32_t>(queue_->running());
    load.queued = static_cast<std::uint32_t>(queue_->queued());
    load.capacity = static_cast<std::uint32_t>(queue_->capacity());
    load.queue_wait = std::max(queue_->estimated_wait(), endpoint_wait_);
    load.draining = queue_->draining();
    load.models = engine_.models;
    load.recent_levels = recent_levels_.list();
    published_.store(std::make_shared<wire::load_report const>(load));
    return load;
}

} // namespace endiveward::agent
