#ifndef ENDIVEWARD_GATEWAY_ORIGIN_WATCH_HPP
#define ENDIVEWARD_GATEWAY_ORIGIN_WATCH_HPP

#include "kernel/i_clock.hpp"
#include "resumption/listed_versions.hpp"
#include "resumption/origin_table.hpp"
#include "resumption/recorded_versions.hpp"
#include "resumption/types/resumption_decision.hpp"
#include "resumption/types/resumption_facts.hpp"
#include "wire/types/origin_answer.hpp"
#include "wire/types/origin_query.hpp"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace endiveward::observe
{
class decision_log;
}

namespace endiveward::gateway
{

class endpoint_directory;
class gateway_metrics;

/// Remembers at which software version streams began, tells agents while a
/// service has several, and asks them about streams of other routers. Used on
/// the traffic thread.
class origin_watch
{
public:
    using news_handler = std::function<void(wire::stream_origins)>;
    using query_handler = std::function<void(wire::origin_query)>;
    /// Gets a decision other than `ask_agents`, and the service at which the
    /// stream began if that is known.
    using decision_handler =
        std::function<void(resumption::resumption_decision const&,
                           std::optional<kernel::service_id> const&)>;

    origin_watch(asio::io_context& context, kernel::i_clock const& clock,
                 gateway_metrics& metrics, observe::decision_log& log);

    /// Sets who passes news and queries on to agents.
    void set_handlers(news_handler on_news, query_handler on_query);
    /// Streams may be taken up within this time after they were sent.
    void set_lifetime(std::chrono::milliseconds lifetime);
    void on_endpoints(endpoint_directory const& endpoints);
    /// Without them, no stream goes on whose origin is not known.
    void on_versions(resumption::recorded_versions recorded);

    /// A request is sent that begins a stream, or takes it up, at an endpoint
    /// with this version. `begun_by` is the request that began it.
    void on_sent(std::string_view begun_by, kernel::service_id const& service,
                 kernel::software_version const& software);
    /// Finds out where a stream began that the caller of `request_id` takes
    /// up. Calls the handler at once or within a fraction of a second.
    void locate(std::string const& request_id, std::string const& begun_by,
                kernel::service_id const& service, decision_handler on_done);
    /// A query was sent to so many agents. Without connections to any, the
    /// list of endpoints must be `list_is_current` to count. `reads_versions`:
    /// the recorded versions are read again, since this router may have missed
    /// some.
    void on_asked(std::uint64_t query, std::size_t agents, bool list_is_current,
                  bool reads_versions);
    void on_answer(wire::origin_answer const& answer);

private:
    struct inquiry
    {
        wire::origin_query query;
        std::string request_id;
        std::string begun_by;
        kernel::steady_time asked_at{};
        kernel::steady_time until{};
        resumption::resumption_facts facts;
        bool was_sent = false;
        std::size_t open_answers = 0;
        bool awaits_versions = false;
        decision_handler on_done;

        bool is_answered() const
        {
            return was_sent && open_answers == 0 && !awaits_versions;
        }
    };

    std::deque<inquiry>::iterator find(std::uint64_t query);
    void finish(std::deque<inquiry>::iterator const& it,
                std::optional<wire::stream_origin> const& origin);
    resumption::resumption_decision
    decide(inquiry& it, std::optional<wire::stream_origin> const& origin) const;
    void conclude(inquiry const& it,
                  resumption::resumption_decision const& decision,
                  std::optional<wire::stream_origin> const& origin,
                  std::string_view source);
    std::set<kernel::software_version>
    versions_of(kernel::service_id const& service) const;
    void update_reported();
    void report(wire::stream_origin const& origin);
    void plan_news();
    void arm();

    asio::io_context& context_;
    kernel::i_clock const& clock_;
    gateway_metrics& metrics_;
    observe::decision_log& log_;
    std::chrono::milliseconds lifetime_;
    resumption::listed_versions listed_;
    resumption::recorded_versions recorded_;
    /// Services that have or had endpoints.
    std::set<kernel::service_id> services_;
    /// Services of which streams are reported.
    std::set<kernel::service_id> reported_;
    resumption::origin_table own_;
    wire::stream_origins news_;
    bool news_planned_ = false;
    news_handler on_news_;
    query_handler on_query_;
    std::uint64_t last_query_ = 0;
    /// In the order in which their time ends.
    std::deque<inquiry> inquiries_;
    asio::steady_timer inquiry_timer_;
};

} // namespace endiveward::gateway

#endif
