#ifndef ENDIVEWARD_AGENT_LOAD_POLLER_HPP
#define ENDIVEWARD_AGENT_LOAD_POLLER_HPP

#include "agent/types/engine_load.hpp"
#include "kernel/types/result.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace endiveward::agent
{

class agent_metrics;
class i_endpoint_client;
class load_reporter;

/// Polls the engine's load report. Used on the traffic thread.
class load_poller : public std::enable_shared_from_this<load_poller>
{
    std::shared_ptr<i_endpoint_client> endpoint_;
    std::shared_ptr<load_reporter> load_;
    std::shared_ptr<agent_metrics> metrics_;

public:
    /// `on_report` is called after each report; `on_change` when the engine
    /// becomes unreachable, or reports a different incarnation or set of
    /// models.
    load_poller(std::shared_ptr<i_endpoint_client> endpoint,
                std::shared_ptr<load_reporter> load,
                std::shared_ptr<agent_metrics> metrics,
                std::function<void()> on_report,
                std::function<void()> on_change);

    /// Requests a load report, unless a request is already pending.
    void poll();

private:
    void on_response(kernel::result<engine_load> response);
    void on_failure(kernel::error const& reason);

    std::function<void()> on_report_;
    std::function<void()> on_change_;
    std::vector<wire::loaded_model> models_;
    bool request_pending_ = false;
    bool engine_up_ = false;
    unsigned consecutive_failures_ = 0;
};

} // namespace endiveward::agent

#endif
