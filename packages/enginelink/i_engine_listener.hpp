#ifndef ENDIVEWARD_ENGINELINK_I_ENGINE_LISTENER_HPP
#define ENDIVEWARD_ENGINELINK_I_ENGINE_LISTENER_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/cache_change.hpp"
#include "wire/types/engine_state.hpp"
#include "wire/types/fact_report.hpp"
#include "wire/types/limit_report.hpp"
#include "wire/types/origin_answer.hpp"
#include "wire/types/part_report.hpp"

namespace endiveward::enginelink
{

/// Receives the engine states and cache changes that agents report. Called on
/// the thread of the links.
class i_engine_listener
{
public:
    virtual ~i_engine_listener() = default;

    virtual void on_engine_state(kernel::endpoint_id const& endpoint,
                                 wire::engine_state const& state) = 0;
    virtual void on_cache_change(kernel::endpoint_id const& endpoint,
                                 wire::cache_change const& change) = 0;
    /// What other routers have learned about prompt parts that crash engines.
    virtual void on_part_report(wire::part_report const& report) = 0;
    /// Facts that other routers share.
    virtual void on_fact_report(wire::fact_report const& report) = 0;
    /// What other routers have learned about endpoints that name a limit.
    virtual void on_limit_report(wire::limit_report const& report) = 0;
    /// What an agent knows of a stream that this router has asked about.
    virtual void on_origin_answer(wire::origin_answer const& answer) = 0;
    /// No more updates of the endpoint arrive until its next state.
    virtual void on_link_lost(kernel::endpoint_id const& endpoint) = 0;
};

} // namespace endiveward::enginelink

#endif
