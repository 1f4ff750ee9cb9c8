#include "agent/internal/agent_state_source.hpp"

#include "agent/internal/load_reporter.hpp"
#include "agent/internal/router_connections.hpp"
#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace endiveward::agent
{

agent_state_source::agent_state_source(
    std::shared_ptr<load_reporter const> load,
    std::shared_ptr<router_connections const> connections,
    std::shared_ptr<config::i_config_state const> configuration,
    std::string endpoint)
    : load_(std::move(load))
    , connections_(std::move(connections))
    , configuration_(std::move(configuration))
    , endpoint_(std::move(endpoint))
{
}

nlohmann::json agent_state_source::dump() const
{
    auto const load = load_->latest();
    auto models = nlohmann::json::array();
    for (auto const& it : load.models)
        models.push_back(
            {{"model", it.model.str()}, {"version", it.version.str()}});
    return {{"endpoint", endpoint_},
            {"agent_incarnation", load.agent_incarnation},
            {"engine_incarnation", load.engine_incarnation},
            {"running", load.running},
            {"queued", load.queued},
            {"capacity", load.capacity},
            {"queue_wait_ms", load.queue_wait.count()},
            {"draining", load.draining},
            {"models", models},
            {"connections", connections_->size()},
            {"config_version", configuration_->current()->version()}};
}

} // namespace endiveward::agent
