#ifndef ENDIVEWARD_GATEWAY_SPEED_WATCH_HPP
#define ENDIVEWARD_GATEWAY_SPEED_WATCH_HPP

#include "gateway/types/load_sample.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>

namespace endiveward::observe
{
class decision_log;
}

namespace endiveward::wire
{
struct fact;
}

namespace endiveward::gateway
{

class endpoint_directory;
class endpoint_record;
class fact_exchange;
class gateway_metrics;
struct sent_request;

/// Tells the estimates of endpoints' speed what answers and other processes
/// say, and shares what this process has learned. It enables them for a service
/// once one of its endpoints has said how long work takes. Used on the traffic
/// thread.
class speed_watch
{
public:
    speed_watch(kernel::i_clock const& clock, endpoint_directory& endpoints,
                fact_exchange& facts, gateway_metrics& metrics,
                observe::decision_log& log);

    /// An answer of the endpoint has this figure in the load field with the
    /// name `field` and the value `text`.
    void on_figure(endpoint_record& endpoint,
                   reported_work_figure const& figure, std::string_view field,
                   std::string_view text);
    /// The first output of a successful response arrived.
    void on_first_output(sent_request const& request);
    /// What another process has learned.
    void on_fact(wire::fact const& fact);
    /// The list of endpoints has changed.
    void on_endpoints();
    /// Updates the means of services. To be called regularly. `processes` share
    /// the links to agents.
    void update(std::size_t processes);

private:
    struct known_endpoint
    {
        /// Of the directory, valid until the list changes.
        endpoint_record* record = nullptr;
        /// When its factor was last shared.
        kernel::steady_time shared_at{};
    };

    void enable(kernel::service_id const& service, std::string_view source);
    void share(endpoint_record const& endpoint);
    void ignore(endpoint_record const& endpoint, std::string_view field,
                std::string_view text);

    kernel::i_clock const& clock_;
    endpoint_directory& endpoints_;
    fact_exchange& facts_;
    gateway_metrics& metrics_;
    observe::decision_log& log_;
    std::unordered_map<std::uint64_t, known_endpoint> by_key_;
    /// Mean factors of the services that are enabled.
    std::map<kernel::service_id, double> means_;
    std::size_t processes_ = 1;
    kernel::steady_time next_share_{};
    kernel::steady_time next_ignored_log_{};
};

} // namespace endiveward::gateway

#endif
