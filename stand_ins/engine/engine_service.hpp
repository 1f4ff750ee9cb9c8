#ifndef ENDIVEWARD_STAND_INS_ENGINE_SERVICE_HPP
#define ENDIVEWARD_STAND_INS_ENGINE_SERVICE_HPP

#include "common/freeze_gate.hpp"
#include "common/http_server.hpp"
#include "engine/batch.hpp"
#include "engine/block_cache.hpp"
#include "engine/engine_options.hpp"
#include "engine/event_log.hpp"
#include "engine/model_set.hpp"
#include "engine/stream.hpp"

#include "kernel/i_clock.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace endiveward::stand_ins
{

/// The engine's HTTP interface (docs/design.md, section 8.1) and the switches
/// for its failures.
class engine_service
{
public:
    explicit engine_service(engine_options options);
    /// Cancels all streams.
    ~engine_service();
    engine_service(engine_service const&) = delete;
    engine_service& operator=(engine_service const&) = delete;

    void handle(http_request const& req, i_http_reply& reply);

private:
    /// One completion that runs or has run.
    struct job
    {
        std::string id;
        nlohmann::json body;
        bool chat = true;
        std::string version;
        int priority = 0;
        std::size_t prompt_bytes = 0;
        std::atomic<std::size_t> cached_bytes{0};
        stream events;
    };
    using job_ptr = std::shared_ptr<job>;

    void complete(http_request const& req, i_http_reply& reply);
    job_ptr make_job(http_request const& req, nlohmann::json body,
                     std::string version);
    void run(job& work);
    void prefill(job& work);
    void generate(job& work);
    nlohmann::json usage(job const& work) const;
    nlohmann::json whole_answer(job const& work) const;
    std::string token_event(job const& work, std::string const& text) const;
    void send_events(job& work, std::size_t from, i_http_reply& reply);
    bool takes_break();
    void resume(http_request const& req, i_http_reply& reply);
    void cancel(http_request const& req, i_http_reply& reply);
    job_ptr find_job(std::string const& id);
    void drop_old_jobs();

    void load(i_http_reply& reply);
    void list_blocks(i_http_reply& reply);
    void list_events(http_request const& req, i_http_reply& reply);
    std::optional<nlohmann::json> take_old_events();
    void order(http_request const& req, i_http_reply& reply);
    int fetch_weights(model_set::model_version const& which);
    void kv(http_request const& req, i_http_reply& reply);

    void admin(http_request const& req, i_http_reply& reply);
    void stats(i_http_reply& reply);
    nlohmann::json models_json();
    header_map engine_headers(std::string const& version) const;

    engine_options options_;
    std::uint64_t incarnation_;
    batch batch_;
    freeze_gate freeze_;

    std::mutex mutex_;
    block_cache cache_;
    event_log events_;
    model_set models_;
    std::string role_;
    std::map<std::string, job_ptr> jobs_;
    std::map<std::string, std::uint64_t> executions_by_marker_;
    std::map<std::string, std::uint64_t> counts_;
    std::optional<nlohmann::json> reported_load_;
    kernel::steady_time load_reported_at_;
    /// Connections that are still to break, each after the interval's events.
    std::uint64_t break_times_ = 0;
    std::int64_t break_interval_ = 0;
    std::int64_t break_after_ = 0;
    /// Given instead of the next event listings, that many times.
    nlohmann::json old_events_;
    std::uint64_t old_event_times_ = 0;

    std::atomic<bool> crash_on_start_{false};
    std::atomic<bool> wrong_version_{false};
    std::atomic<bool> stopping_{false};
    /// Generator threads that are running.
    std::atomic<std::size_t> generators_{0};
};

} // namespace endiveward::stand_ins

#endif
