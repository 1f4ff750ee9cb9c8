#ifndef ENDIVEWARD_STAND_INS_PLATFORM_SERVICE_HPP
#define ENDIVEWARD_STAND_INS_PLATFORM_SERVICE_HPP

#include "common/freeze_gate.hpp"
#include "common/http_server.hpp"
#include "platform/restore_drill.hpp"
#include "platform/table_store.hpp"
#include "platform/undo_log.hpp"
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
    restore_options restore{};
};

/// The platform's HTTP interface (docs/design.md, section 8.2) and the
/// switches for its failures.
class platform_service
{
public:
    explicit platform_service(platform_options const& options);

    void handle(http_request const& req, i_http_reply& reply);

private:
    void answer(http_request const& req, i_http_reply& reply);
    std::uint64_t era();
    /// Brings the copy back if the store's absence has ended. `mutex_` must be
    /// held.
    void advance_drill();
    /// Whether the call was answered with a failure of table or object store.
    bool fails(std::string const& path, i_http_reply& reply);
    void transaction(http_request const& req, i_http_reply& reply);
    bool is_away();
    bool loses_answer();
    void row(http_request const& req, i_http_reply& reply);
    void rows(http_request const& req, i_http_reply& reply);
    void write_object(std::string const& key, std::string const& bytes);
    void object(http_request const& req, i_http_reply& reply);
    void vms(i_http_reply& reply);
    void weights(http_request const& req, i_http_reply& reply);
    void admin(http_request const& req, i_http_reply& reply);
    bool switch_failure(std::string const& what, nlohmann::json const& body);
    void stats(i_http_reply& reply);

    /// Recursive, because the era is read when an answer is sent, in some
    /// operations while the mutex is held.
    std::recursive_mutex mutex_;
    table_store table_;
    std::map<std::string, std::string> objects_;
    undo_log object_undo_;
    restore_drill drill_;
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
