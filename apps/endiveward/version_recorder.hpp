#ifndef ENDIVEWARD_APP_VERSION_RECORDER_HPP
#define ENDIVEWARD_APP_VERSION_RECORDER_HPP

#include "gateway/types/endpoint_entry.hpp"
#include "kernel/types/identifiers.hpp"
#include "resumption/version_history.hpp"
#include "wire/types/fact_report.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace endiveward::gateway
{
struct routing_config;
}

namespace endiveward::observe
{
class decision_log;
}

namespace endiveward::platform
{
class store_rows;
}

namespace endiveward::app
{

/// Records the software versions of endpoints in the store before requests are
/// sent to them. Used on the control thread, which no call to the store blocks.
class version_recorder
{
public:
    using endpoints = std::vector<gateway::endpoint_entry>;

    struct handlers
    {
        /// Gets the list with those marked to which no request may be sent yet.
        std::function<void(endpoints const&)> on_endpoints;
        std::function<void(resumption::recorded_versions const&)> on_versions;
        /// For the other routers.
        std::function<void(wire::fact_report)> on_news;
    };

    /// `name` identifies the process, `first_start` the deployment's first one.
    version_recorder(kernel::i_clock const& clock, platform::store_rows& store,
                     observe::decision_log& log, kernel::process_id const& name,
                     bool first_start, handlers handlers);
    ~version_recorder();
    version_recorder(version_recorder const&) = delete;
    version_recorder& operator=(version_recorder const&) = delete;

    void on_configuration(gateway::routing_config const& config);
    void on_endpoints(endpoints list);
    void on_report(wire::fact_report const& report);
    /// `era` is the newest one of the store that is known.
    void on_tick(std::uint64_t era);
    /// This process was cut off from the other routers, or stood still.
    void on_out_of_step(char const* reason);
    /// A stream of unknown origin is taken up. Returns true if the versions
    /// are read again for this, since some may have been missed.
    bool confirm();
    /// Whether requests could be sent to all endpoints at some time.
    bool settled() const { return settled_; }

private:
    void proceed();
    /// Gives whether an endpoint's mark has changed.
    bool update_withheld();
    void read();
    void write(storage::table_transaction const& transaction);
    /// Handles a call's result unless this object has been destroyed.
    template <typename Result, typename Apply>
    auto on_result(char const* what, Apply apply);
    void send_notices();

    kernel::i_clock const& clock_;
    platform::store_rows& store_;
    observe::decision_log& log_;
    handlers handlers_;
    std::uint64_t const source_;
    std::uint32_t revision_ = 0;
    resumption::version_history history_;
    resumption::recorded_versions published_versions_;
    endpoints list_;
    /// Versions of endpoints to which requests were sent.
    resumption::version_history::listing in_use_;
    bool configured_ = false;
    bool listed_ = false;
    bool settled_ = false;
    bool calling_ = false;
    /// Handlers of calls that end after this object do nothing.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace endiveward::app

#endif
