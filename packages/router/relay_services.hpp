#ifndef ENDIVEWARD_ROUTER_RELAY_SERVICES_HPP
#define ENDIVEWARD_ROUTER_RELAY_SERVICES_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/prefix_level.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endiveward::config
{
class i_config_state;
}

namespace endiveward::kernel
{
class i_clock;
class i_random_source;
} // namespace endiveward::kernel

namespace endiveward::placement
{
class i_placement;
}

namespace endiveward::router
{

class crash_watch;
class i_agent_directory;
class router_metrics;

/// Services and limits that all calls of a process share.
struct relay_services
{
    using prefix_level_function = std::function<std::vector<wire::prefix_level>(
        kernel::workspace_id const&, kernel::model_id const&,
        kernel::model_version const&, std::vector<std::string> const& parts)>;

    std::shared_ptr<kernel::i_clock const> clock;
    std::shared_ptr<kernel::i_random_source> random;
    std::shared_ptr<config::i_config_state const> configuration;
    std::shared_ptr<placement::i_placement> placement;
    std::shared_ptr<i_agent_directory> agents;
    std::shared_ptr<router_metrics> metrics;
    std::shared_ptr<crash_watch> crashes;
    /// See `placement::make_prefix_levels`.
    prefix_level_function make_prefix_levels;
    /// See `placement::retry_budget`.
    std::function<void()> on_request;
    std::function<bool()> try_take_retry_token;
    std::chrono::milliseconds verdict_timeout{250};
    /// Half of the time for which agents retain a stream, which leaves time for
    /// a second attempt.
    std::chrono::milliseconds resume_timeout{5000};
    /// How long a call waits for a connection to another region; long enough
    /// for the handshake over the longest distance.
    std::chrono::milliseconds remote_timeout{2000};
    /// Region of this process.
    kernel::region_id region;
    std::size_t max_attempts = 3;
    /// Maximum size of an answer that is not streamed to the caller.
    std::size_t max_answer_bytes = 64U << 20U;
};

} // namespace endiveward::router

#endif
