#ifndef ENDIVEWARD_GATEWAY_PART_WATCH_HPP
#define ENDIVEWARD_GATEWAY_PART_WATCH_HPP

#include "availability/part_quarantine.hpp"
#include "gateway/types/endpoint_entry.hpp"
#include "kernel/i_clock.hpp"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::observe
{
class decision_log;
}

namespace endiveward::gateway
{

class gateway_metrics;

/// Tells the quarantine of prompt parts and requests what happens to requests,
/// logs its decisions and passes its news on. Used on the traffic thread.
class part_watch
{
public:
    using request_keys = availability::request_keys;
    using news_handler = std::function<void(wire::part_report)>;

    part_watch(asio::io_context& context, kernel::i_clock const& clock,
               gateway_metrics& metrics, observe::decision_log& log,
               std::uint64_t seed);

    /// Sets who passes news on to other processes.
    void set_news_handler(news_handler handler);

    /// The connection of a request broke before the endpoint had sent any
    /// output for it.
    void on_crash(std::string const& request_id, endpoint_entry const& endpoint,
                  request_keys const& keys);
    /// The request was given up before the endpoint had sent any output for it.
    void on_abandoned(std::string const& request_id,
                      endpoint_entry const& endpoint, request_keys const& keys);
    /// No connection to the endpoint could be established.
    void on_unreachable(endpoint_entry const& endpoint);
    /// Returns true if the request is the first one after a quarantine.
    bool on_sent(std::string const& request_id, request_keys const& keys);
    void on_served(request_keys const& keys);
    /// The endpoint has sent bytes.
    void on_endpoint_active(endpoint_entry const& endpoint);
    void on_report(wire::part_report const& report);
    std::optional<kernel::steady_time>
    quarantined_until(request_keys const& keys) const;
    std::size_t suspects() const { return quarantine_.suspects(); }

private:
    void log(std::vector<availability::part_quarantine::suspicion> const& added,
             std::string const& source);
    void plan_news();

    kernel::i_clock const& clock_;
    gateway_metrics& metrics_;
    observe::decision_log& log_;
    availability::part_quarantine quarantine_;
    news_handler on_news_;
    asio::steady_timer timer_;
    bool news_planned_ = false;
};

} // namespace endiveward::gateway

#endif
