#ifndef ENDIVEWARD_GATEWAY_GATEWAY_HPP
#define ENDIVEWARD_GATEWAY_GATEWAY_HPP

#include "gateway/buffer_memory.hpp"
#include "gateway/caller_server.hpp"
#include "gateway/exchange_services.hpp"
#include "gateway/i_request_handler.hpp"
#include "gateway/overload_policy.hpp"
#include "gateway/types/endpoint_entry.hpp"
#include "gateway/types/gateway_settings.hpp"
#include "gateway/types/header_field_names.hpp"
#include "gateway/types/stop_state.hpp"
#include "gateway/unavailability_policy.hpp"
#include "kernel/i_clock.hpp"
#include "weights/types/model_target.hpp"
#include "wire/types/cache_change.hpp"
#include "wire/types/engine_state.hpp"
#include "wire/types/fact_report.hpp"
#include "wire/types/limit_report.hpp"
#include "wire/types/origin_answer.hpp"
#include "wire/types/origin_query.hpp"
#include "wire/types/part_report.hpp"
#include "wire/types/stream_origin.hpp"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace prometheus
{
class Registry;
}

namespace endiveward::resumption
{
struct recorded_versions;
}

namespace endiveward::gateway
{

class fact_exchange;
class isolation_watch;
class quota_watch;
class speed_watch;
class room_queue;

/// Serves callers' requests according to the current configuration and list of
/// endpoints. All methods must be called on the traffic thread, which runs
/// `context`.
class gateway : public i_request_handler
{
public:
    gateway(asio::io_context& context, kernel::i_clock const& clock,
            header_field_names names, gateway_settings settings,
            prometheus::Registry& metrics, observe::decision_log& log);
    ~gateway() override;
    gateway(gateway const&) = delete;
    gateway& operator=(gateway const&) = delete;

    kernel::result<std::uint16_t> listen(std::string const& address,
                                         std::uint16_t port);

    /// Ignored unless its version is newer than the current one.
    void apply(std::shared_ptr<routing_table const> table);
    void apply(std::vector<endpoint_entry> endpoints);
    /// Sets a model's target version. The reloads of the endpoints are
    /// scheduled relative to `announced_at`.
    void apply(weights::model_target const& target,
               std::optional<kernel::steady_time> announced_at);
    /// Replaces what the store tells of services' software versions.
    void apply(resumption::recorded_versions const& versions);
    /// Reports of the agents on the endpoints' VMs.
    void on_engine_state(kernel::endpoint_id const& endpoint,
                         wire::engine_state const& state);
    void on_cache_change(kernel::endpoint_id const& endpoint,
                         wire::cache_change const& change);
    void on_link_lost(kernel::endpoint_id const& endpoint);
    /// What other processes have learned about prompt parts that crash
    /// endpoints.
    void on_part_report(wire::part_report const& report);
    /// Sets who passes what this process has learned on to the others.
    void
    set_part_report_handler(std::function<void(wire::part_report)> handler);
    /// What other processes have learned about endpoints that name a limit.
    void on_limit_report(wire::limit_report const& report);
    void
    set_limit_report_handler(std::function<void(wire::limit_report)> handler);
    /// Facts that other processes share.
    void on_fact_report(wire::fact_report const& report);
    void
    set_fact_report_handler(std::function<void(wire::fact_report)> handler);
    /// Sets who passes the origins of streams, and queries for those of others,
    /// on to agents.
    void
    set_origin_handlers(std::function<void(wire::stream_origins)> on_origins,
                        std::function<void(wire::origin_query)> on_query);
    /// So many agents were asked. `list_is_current` tells whether the list of
    /// endpoints is read from the store, `reads_versions` whether the recorded
    /// software versions are read for this.
    void on_origin_asked(std::uint64_t query, std::size_t agents,
                         bool list_is_current, bool reads_versions = false);
    void on_origin_answer(wire::origin_answer const& answer);
    void set_settings(gateway_settings settings);

    /// From now on each connection is closed after its next response. Requests
    /// that are still in progress at `ends_at` are answered then: as not run if
    /// no endpoint may have run them, else as failed.
    void announce_stop(kernel::steady_time ends_at);
    /// From now on new requests, and those that wait for an endpoint, are
    /// refused.
    void stop_listening();
    void close_idle();
    void close_all();

    std::size_t connections() const { return caller_server_.connections(); }

    std::shared_ptr<i_exchange> handle(http_request request,
                                       i_response_writer& writer) override;
    caller_limits limits() const override;
    bool draining() const override { return draining_; }
    buffer_memory& memory() override { return memory_; }
    void on_displaced(connection_load const& load,
                      std::string_view reason) override;

private:
    void tick();
    void update_limits();
    void update_memory_limit();
    void update_stream_lifetime();
    void update_limit_share();
    void update_process_count(std::size_t routers);

    asio::io_context& context_;
    kernel::i_clock const& clock_;
    header_field_names const names_;
    gateway_settings settings_;
    /// Number of router processes in the deployment, as reported by the agents.
    std::size_t processes_;
    kernel::steady_time process_count_updated_at_{};
    observe::decision_log& log_;
    std::unique_ptr<gateway_metrics> metrics_;
    std::shared_ptr<endpoint_directory> endpoints_;
    std::unique_ptr<endpoint_chooser> chooser_;
    overload_policy overload_;
    unavailability_policy unavailability_;
    buffer_memory memory_;
    std::unique_ptr<weights_view> weights_;
    std::unique_ptr<retry_budgets> budgets_;
    std::unique_ptr<part_watch> parts_;
    std::unique_ptr<limit_watch> limits_;
    std::unique_ptr<origin_watch> origins_;
    std::unique_ptr<fact_exchange> facts_;
    std::unique_ptr<quota_watch> quotas_;
    std::unique_ptr<isolation_watch> isolations_;
    std::unique_ptr<speed_watch> speeds_;
    std::shared_ptr<room_queue> room_;
    std::unique_ptr<exchange_services> services_;
    std::shared_ptr<routing_table const> table_;
    caller_server caller_server_;
    asio::steady_timer timer_;
    bool draining_ = false;
    stop_state stop_;
};

} // namespace endiveward::gateway

#endif
