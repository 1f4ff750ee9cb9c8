#ifndef ENDIVEWARD_STAND_INS_PLAIN_SERVICE_HPP
#define ENDIVEWARD_STAND_INS_PLAIN_SERVICE_HPP

#include "common/freeze_gate.hpp"
#include "common/http_server.hpp"
#include "service/execution_log.hpp"

#include <atomic>
#include <chrono>
#include <mutex>

namespace endiveward::stand_ins
{

/// A plain service: `POST /check`, which must not be repeated, and
/// `GET /holds/<id>`, which may be; and the switches for its failures.
class plain_service
{
public:
    explicit plain_service(std::chrono::milliseconds delay);

    void handle(http_request const& req, i_http_reply& reply);

private:
    void check(http_request const& req, i_http_reply& reply);
    void hold(http_request const& req, i_http_reply& reply);
    void admin(http_request const& req, i_http_reply& reply);
    void stats(i_http_reply& reply);

    std::atomic<std::int64_t> delay_ms_;
    freeze_gate freeze_;
    std::atomic<bool> crash_on_start_{false};
    std::atomic<std::int64_t> answers_to_break_{0};
    std::mutex mutex_;
    execution_log executions_;
    std::uint64_t hold_reads_ = 0;
};

} // namespace endiveward::stand_ins

#endif
