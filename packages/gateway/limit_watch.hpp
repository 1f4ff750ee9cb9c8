#ifndef ENDIVEWARD_GATEWAY_LIMIT_WATCH_HPP
#define ENDIVEWARD_GATEWAY_LIMIT_WATCH_HPP

#include "kernel/i_clock.hpp"
#include "wire/types/limit_report.hpp"

#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace endiveward::observe
{
class decision_log;
}

namespace endiveward::gateway
{

class endpoint_directory;
class endpoint_record;

/// Tells the limits of endpoints which requests this and other processes send,
/// logs their changes and passes this process's news on. Used on the traffic
/// thread.
class limit_watch
{
public:
    using news_handler = std::function<void(wire::limit_report)>;

    /// `seed` should differ between processes.
    limit_watch(asio::io_context& context, kernel::i_clock const& clock,
                endpoint_directory& endpoints, observe::decision_log& log,
                std::uint64_t seed);

    /// Sets who passes news on to other processes.
    void set_news_handler(news_handler handler);

    /// A request is sent to the endpoint.
    void on_sent(endpoint_record& endpoint);
    /// A response to a request that was sent at `sent` has this value of the
    /// field with the name `field`; null if it has none.
    void on_response(endpoint_record& endpoint, kernel::steady_time sent,
                     std::string_view field,
                     std::optional<std::string_view> value);
    /// The agent reports the limit that its engine names to it.
    void on_agent_report(endpoint_record& endpoint,
                         std::optional<double> per_second);
    void on_report(wire::limit_report const& report);
    /// `processes` share the limits; `linked` tells whether this one has links
    /// to agents, which pass on what the others send.
    void set_processes(std::size_t processes, bool linked);
    /// Checks whether agents still report. To be called regularly.
    void update_share();

private:
    struct counted_request
    {
        kernel::steady_time at{};
        std::uint64_t request = 0;
    };

    void log_change(endpoint_record const& endpoint, std::string_view source,
                    bool ended) const;
    /// Returns false if the request was counted before.
    bool remember(std::uint64_t request);
    void plan_news();

    kernel::i_clock const& clock_;
    endpoint_directory& endpoints_;
    observe::decision_log& log_;
    std::uint64_t const seed_;
    std::uint64_t sent_ = 0;
    std::size_t processes_ = 1;
    bool linked_ = false;
    kernel::steady_time last_agent_report_{};
    double share_ = 1;
    wire::limit_report news_;
    news_handler on_news_;
    asio::steady_timer timer_;
    bool news_planned_ = false;
    /// Oldest first.
    std::deque<counted_request> counted_;
    std::unordered_set<std::uint64_t> counted_keys_;
};

} // namespace endiveward::gateway

#endif
