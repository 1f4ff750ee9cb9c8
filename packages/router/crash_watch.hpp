#ifndef ENDIVEWARD_ROUTER_CRASH_WATCH_HPP
#define ENDIVEWARD_ROUTER_CRASH_WATCH_HPP

#include "availability/part_quarantine.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"
#include "wire/types/part_report.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace endiveward::router
{

struct call_request;

/// Remembers which calls were at endpoints that crashed, and decides which are
/// not sent for a time. Thread-safe.
class crash_watch
{
public:
    using news_handler = std::function<void(wire::part_report const&)>;
    using request_key = availability::part_quarantine::part_key;

    /// `seed` should differ between processes.
    crash_watch(std::shared_ptr<kernel::i_clock const> clock,
                std::uint64_t seed);

    /// Sets who passes news on to other processes. Call before use.
    void set_news_handler(news_handler handler);

    /// The endpoint ended, as far as known, before it sent any output for the
    /// call. `incarnation` is that of its engine, zero for a plain service.
    void on_crash(std::string const& request_id,
                  kernel::endpoint_id const& endpoint,
                  kernel::incarnation incarnation, request_key key);
    /// Returns true if the call is the first one after a quarantine.
    bool on_sent(std::string const& request_id, request_key key);
    void on_served(request_key key);
    void on_report(wire::part_report const& report);
    std::optional<kernel::steady_time> quarantined_until(request_key key) const;

private:
    std::uint64_t crash_key(kernel::endpoint_id const& endpoint,
                            kernel::incarnation incarnation,
                            kernel::steady_time now);
    void send_news();

    std::shared_ptr<kernel::i_clock const> const clock_;
    news_handler on_news_;
    mutable std::mutex mutex_;
    availability::part_quarantine quarantine_;
    /// When an endpoint without incarnations was last seen to end.
    std::unordered_map<kernel::endpoint_id, kernel::steady_time> ended_at_;
};

/// Returns a key of the call that is the same each time it comes: of workspace,
/// target, method, path, query and body.
crash_watch::request_key make_request_key(call_request const& request);

} // namespace endiveward::router

#endif
