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

// Each poll for a free slot reads two rows. When all 1,200 agents wait, polls
// every 5 s on average cost 480 of the table's 2,000 reads/s.
constexpr std::chrono::milliseconds least_slot_wait{4000};
constexpr std::uint64_t slot_wait_spread_ms = 2000;

bool same_effect(engine_order const& left, engine_order const& right)
{
    return left.order == right.order && left.model == right.model &&
           left.version == right.version;
}

} // namespace

model_reconciler::model_reconciler(reconciler_services services,
                                   kernel::endpoint_id own)
    : services_(std::move(services))
    , own_(std::move(own))
    , issuer_(
          std::make_shared<order_issuer>(services_.lease, services_.endpoint))
    , repeat_at_(services_.clock->now())
    , next_slot_poll_(services_.clock->now())
{
}

void model_reconciler::tick()
{
    auto const due = find_due();
    if (!due && !waiting_)
        return stand_down();
    bool const has_slot = obtain_slot(waiting_ ? last_ : *due);
    // The lease is not kept while waiting for a slot: renewals by 1,200 agents
    // would take 400 of the table's several hundred writes/s.
    if (!has_slot && !waiting_)
        return services_.lease->release();
    services_.lease->tick();
    if (waiting_ || !due)
        return;
    // The engine's report lags behind its state.
    if (same_effect(*due, last_) && services_.clock->now() < repeat_at_)
        return;
    if (services_.lease->fencing_number())
        issue(*due);
}

std::optional<engine_order> model_reconciler::find_due() const
{
    auto const report = services_.load->report();
    if (report.draining || !services_.load->engine_up())
        return std::nullopt;
    auto const configuration = services_.configuration->current();
    auto const* const own = configuration->find_endpoint(own_);
    if (own == nullptr || own->models.empty())
        return std::nullopt;
    for (auto const& it : own->models)
    {
        if (!services_.load->serves(it.model, it.version))
            return engine_order{
                load_order, it.model.str(), it.version.str(), {}, 0};
    }
    // Unloads wait until everything wanted is loaded, so that a change of
    // versions leaves no time without either.
    for (auto const& it : report.models)
    {
        config::endpoint_model const loaded{it.model, it.version};
        if (std::ranges::find(own->models, loaded) == own->models.end())
            return engine_order{
                unload_order, it.model.str(), it.version.str(), {}, 0};
    }
    return std::nullopt;
}

bool model_reconciler::obtain_slot(engine_order const& due)
{
    auto& slots = *services_.slots;
    if (due.order != load_order)
    {
        slots.release();
        return true;
    }
    slots.request();
    auto const now = services_.clock->now();
    if (!slots.held() && now < next_slot_poll_)
        return false;
    slots.tick();
    next_slot_poll_ = now + least_slot_wait +
                      std::chrono::milliseconds(services_.random->next() %
                                                slot_wait_spread_ms);
    return slots.held();
}

void model_reconciler::issue(engine_order const& due)
{
    waiting_ = true;
    last_ = due;
    services_.metrics->orders.Increment();
    issuer_->issue(due,
                   [weak = weak_from_this()](auto const& res)
                   {
                       if (auto const self = weak.lock())
                           self->on_answer(res);
                   });
}

void model_reconciler::on_answer(kernel::result<kernel::done> const& res)
{
    waiting_ = false;
    repeat_at_ = services_.clock->now() + repeat_interval;
    if (kernel::ok(res))
        return;
    services_.metrics->order_failures.Increment();
    // Another agent holds the lease with a newer number.
    if (kernel::failure(res).kind == kernel::error_kind::conflict)
        services_.lease->release();
}

void model_reconciler::stand_down()
{
    last_ = {};
    services_.slots->release();
    services_.lease->release();
}

} // namespace endiveward::agent
