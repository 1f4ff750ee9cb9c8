#include "agent/internal/model_reconciler.hpp"

#include "admission/i_order_lease.hpp"
#include "admission/i_weight_load_slots.hpp"
#include "agent/internal/agent_metrics.hpp"
#include "agent/internal/load_reporter.hpp"
#include "agent/internal/order_issuer.hpp"
#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "config/types/endpoint_entry.hpp"
#include "kernel/i_random_source.hpp"

#include <prometheus/counter.h>

#include <algorithm>
#include <utility>

namespace endiveward::agent
{

namespace
{

constexpr char const* load_order = "load";
constexpr char const* unload_order = "unload";

// Each poll for a free slot reads two rows. With all 1,200 agents waiting,
// polling every 5 s on average takes 480 of the table's 2,000 reads/s.
constexpr std::chrono::milliseconds min_slot_poll_interval{4000};
constexpr std::uint64_t slot_poll_jitter_ms = 2000;

bool same_effect(engine_order const& left, engine_order const& right)
{
    return left.kind == right.kind && left.model == right.model &&
           left.version == right.version;
}

} // namespace

model_reconciler::model_reconciler(model_reconciler_dependencies dependencies,
                                   kernel::endpoint_id id)
    : dependencies_(std::move(dependencies))
    , endpoint_id_(std::move(id))
    , issuer_(std::make_shared<order_issuer>(dependencies_.lease,
                                             dependencies_.endpoint))
    , retry_at_(dependencies_.clock->now())
    , next_slot_poll_(dependencies_.clock->now())
{
}

void model_reconciler::tick()
{
    auto const due = find_due_order();
    if (!due && !response_pending_)
        return release_slot_and_lease();
    bool const has_slot =
        acquire_load_slot(response_pending_ ? last_order_ : *due);
    // The lease is not held while waiting for a slot: renewals by 1,200 agents
    // would take 400 of the table's several hundred writes/s.
    if (!has_slot && !response_pending_)
        return dependencies_.lease->release();
    dependencies_.lease->tick();
    if (response_pending_ || !due)
        return;
    // The engine's load report lags behind its actual state, so the order may
    // already have taken effect.
    if (same_effect(*due, last_order_) &&
        dependencies_.clock->now() < retry_at_)
        return;
    if (dependencies_.lease->fencing_number())
        issue(*due);
}

std::optional<engine_order> model_reconciler::find_due_order() const
{
    auto const report = dependencies_.load->report();
    if (report.draining || !dependencies_.load->engine_up())
        return std::nullopt;
    auto const configuration = dependencies_.configuration->current();
    auto const* const entry = configuration->find_endpoint(endpoint_id_);
    if (entry == nullptr || entry->models.empty())
        return std::nullopt;
    for (auto const& it : entry->models)
    {
        if (!dependencies_.load->serves(it.model, it.version))
            return engine_order{
                load_order, it.model.str(), it.version.str(), {}, 0};
    }
    // Models are unloaded only after all configured ones are loaded, so that
    // either the old or the new version is available during a version change.
    for (auto const& it : report.models)
    {
        config::endpoint_model const loaded{it.model, it.version};
        if (std::ranges::find(entry->models, loaded) == entry->models.end())
            return engine_order{
                unload_order, it.model.str(), it.version.str(), {}, 0};
    }
    return std::nullopt;
}

bool model_reconciler::acquire_load_slot(engine_order const& due)
{
    auto& slots = *dependencies_.slots;
    if (due.kind != load_order)
    {
        slots.release();
        return true;
    }
    slots.request();
    auto const now = dependencies_.clock->now();
    if (!slots.held() && now < next_slot_poll_)
        return false;
    slots.tick();
    next_slot_poll_ = now + min_slot_poll_interval +
                      std::chrono::milliseconds(dependencies_.random->next() %
                                                slot_poll_jitter_ms);
    return slots.held();
}

void model_reconciler::issue(engine_order const& due)
{
    response_pending_ = true;
    last_order_ = due;
    dependencies_.metrics->orders.Increment();
    issuer_->issue(due,
                   [weak = weak_from_this()](auto const& res)
                   {
                       if (auto const self = weak.lock())
                           self->on_response(res);
                   });
}

void model_reconciler::on_response(kernel::result<kernel::done> const& res)
{
    response_pending_ = false;
    retry_at_ = dependencies_.clock->now() + retry_interval;
    if (kernel::ok(res))
        return;
    dependencies_.metrics->order_failures.Increment();
    // Another agent holds the lease with a newer fencing number.
    if (kernel::failure(res).kind == kernel::error_kind::conflict)
        dependencies_.lease->release();
}

void model_reconciler::release_slot_and_lease()
{
    last_order_ = {};
    dependencies_.slots->release();
    dependencies_.lease->release();
}

} // namespace endiveward::agent
