#ifndef ENDIVEWARD_STAND_INS_PLATFORM_SERVICE_HPP
#define ENDIVEWARD_STAND_INS_PLATFORM_SERVICE_HPP

#include "common/freeze_gate.hpp"
#include "common/http_server.hpp"
#include "platform/table_store.hpp"
#include "platform/vm_listing.hpp"
#include "platform/weight_store.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace endiveward::stand_ins
{

struct platform_options
{
    std::chrono::milliseconds vm_lag{0};
    std::chrono::milliseconds load_time{1000};
    /// Weight loads at once; more are refused. 0 means no limit.
    std::size_t max_loads = 0;
};

/// The platform's HTTP interface (docs/design.md, section 8.2) and the
/// switches for its failures.
class platform_service
{
public:
    explicit platform_service(platform_options const& options);

    void handle(http_request const& req, i_http_reply& reply);

private:
    /// Whether the call was answered with a failure of table or object store.
    bool fails(std::string const& path, i_http_reply& reply);
    void transaction(http_request const& req, i_http_reply& reply);
    bool loses_answer();
    void row(http_request const& req, i_http_reply& reply);
    void rows(http_request const& req, i_http_reply& reply);
    void object(http_request const& req, i_http_reply& reply);
    void vms(i_http_reply& reply);
    void weights(http_request const& req, i_http_reply& reply);
    void admin(http_request const& req, i_http_reply& reply);
    bool switch_failure(std::string const& what, nlohmann::json const& body);
    void stats(i_http_reply& reply);

    std::mutex mutex_;
    table_store table_;
    std::map<std::string, std::string> objects_;
    vm_listing vms_;
    weight_store weights_;
    std::map<std::string, std::uint64_t> counts_;
    freeze_gate freeze_;
    std::atomic<bool> table_down_{false};
    std::atomic<bool> objects_down_{false};
    std::atomic<bool> vms_down_{false};
    std::atomic<bool> weights_throttled_{false};
    std::atomic<std::int64_t> slow_ms_{0};
    std::uint64_t answers_to_lose_ = 0;
};

} // namespace endiveward::stand_ins

#endif
