#include "platform/platform_service.hpp"

#include <cstdlib>
#include <functional>
#include <optional>
#include <thread>

namespace endiveward::stand_ins
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

void send_json(i_http_reply& reply, int status, json const& body,
               header_map headers = {})
{
    reply.send(status, body.dump(), std::move(headers));
}

json error_body(std::string const& message)
{
    return {{"error", {{"message", message}}}};
}

json to_json(table_row const& from)
{
    return {
        {"key", from.key}, {"value", from.value}, {"version", from.version}};
}

std::vector<table_store::condition> read_conditions(json const& body)
{
    std::vector<table_store::condition> conditions;
    for (auto const& it : body.value("conditions", json::array()))
        conditions.push_back({it.at("key"), it.at("version")});
    return conditions;
}

std::vector<table_store::write> read_writes(json const& body)
{
    std::vector<table_store::write> writes;
    for (auto const& it : body.value("writes", json::array()))
    {
        table_store::write write{it.at("key"), std::nullopt};
        if (!it.at("value").is_null())
            write.value = it.at("value").get<std::string>();
        writes.push_back(std::move(write));
    }
    return writes;
}

kernel::steady_time steady_now()
{
    return std::chrono::steady_clock::now();
}

/// Adds the table's era to an answer. It is read when the answer is sent, so
/// that it is never older than the era in which the operation ran.
class reply_with_era : public i_http_reply
{
public:
    reply_with_era(i_http_reply& reply, std::function<std::uint64_t()> era)
        : reply_(reply)
        , era_(std::move(era))
    {
    }

    void send(int status, std::string body, header_map headers) override
    {
        headers["Table-Era"] = std::to_string(era_());
        reply_.send(status, std::move(body), std::move(headers));
    }
    void begin(int status, header_map headers) override
    {
        headers["Table-Era"] = std::to_string(era_());
        reply_.begin(status, std::move(headers));
    }
    bool write(std::string chunk) override
    {
        return reply_.write(std::move(chunk));
    }
    void finish() override { reply_.finish(); }
    void break_connection() override { reply_.break_connection(); }

private:
    i_http_reply& reply_;
    std::function<std::uint64_t()> era_;
};

} // namespace

platform_service::platform_service(platform_options const& options)
    : drill_(options.restore, steady_now())
    , vms_(options.vm_lag)
    , weights_(options.load_time, options.max_loads)
{
}

void platform_service::handle(http_request const& req, i_http_reply& reply)
{
    reply_with_era with_era(reply, [this] { return era(); });
    answer(req, with_era);
}

std::uint64_t platform_service::era()
{
    std::lock_guard const lock(mutex_);
    advance_drill();
    return drill_.era();
}

void platform_service::advance_drill()
{
    auto const copy_time = drill_.advance(steady_now());
    if (!copy_time)
        return;
    table_.restore(*copy_time);
    object_undo_.rewind(*copy_time);
    ++counts_["restores"];
}

void platform_service::answer(http_request const& req, i_http_reply& reply)
{
    if (req.path.rfind("/admin/", 0) == 0)
        return admin(req, reply);
    freeze_.pass();
    if (fails(req.path, reply))
        return;
    if (req.path == "/v1/transactions" && req.method == "POST")
        return transaction(req, reply);
    if (req.path == "/v1/row")
        return row(req, reply);
    if (req.path == "/v1/rows")
        return rows(req, reply);
    if (req.path == "/v1/object")
        return object(req, reply);
    if (req.path == "/v1/vms")
        return vms(reply);
    if (req.path == "/v1/weights")
        return weights(req, reply);
    send_json(reply, 404, error_body("no such operation: " + req.path));
}

bool platform_service::fails(std::string const& path, i_http_reply& reply)
{
    bool const is_table =
        path == "/v1/transactions" || path.rfind("/v1/row", 0) == 0;
    if (is_table || path == "/v1/object")
        std::this_thread::sleep_for(milliseconds(slow_ms_));
    bool const down = ((is_table || path == "/v1/object") && is_away()) ||
                      (is_table && table_down_) ||
                      (path == "/v1/object" && objects_down_) ||
                      (path == "/v1/vms" && vms_down_);
    if (!down)
        return false;
    {
        std::lock_guard const lock(mutex_);
        ++counts_["refused"];
    }
    send_json(reply, 503, error_body("down"));
    return true;
}

void platform_service::transaction(http_request const& req, i_http_reply& reply)
{
    json const body = json::parse(req.body);
    std::vector<std::string> failed;
    bool lost = false;
    {
        std::lock_guard const lock(mutex_);
        advance_drill();
        failed = table_.commit(read_conditions(body), read_writes(body),
                               steady_now());
        ++counts_["transactions"];
        ++counts_[failed.empty() ? "commits" : "conflicts"];
        lost = failed.empty() && loses_answer();
    }
    if (lost)
        return reply.break_connection();
    if (failed.empty())
        return send_json(reply, 200, {{"committed", true}});
    send_json(reply, 409, {{"committed", false}, {"failed_keys", failed}});
}

bool platform_service::is_away()
{
    std::lock_guard const lock(mutex_);
    advance_drill();
    return drill_.is_away();
}

bool platform_service::loses_answer()
{
    if (answers_to_lose_ == 0)
        return false;
    --answers_to_lose_;
    ++counts_["lost_answers"];
    return true;
}

void platform_service::row(http_request const& req, i_http_reply& reply)
{
    std::lock_guard const lock(mutex_);
    ++counts_["reads"];
    auto const found = table_.read(req.parameter("key"));
    if (!found)
        return send_json(reply, 404, error_body("no such row"));
    send_json(reply, 200, to_json(*found));
}

void platform_service::rows(http_request const& req, i_http_reply& reply)
{
    auto const limit = std::stoull(req.parameter("limit", "1000"));
    std::lock_guard const lock(mutex_);
    ++counts_["reads"];
    json list = json::array();
    for (auto const& it :
         table_.scan(req.parameter("prefix"), req.parameter("after"), limit))
        list.push_back(to_json(it));
    send_json(reply, 200, {{"rows", list}});
}

void platform_service::object(http_request const& req, i_http_reply& reply)
{
    std::string const key = req.parameter("key");
    std::lock_guard const lock(mutex_);
    if (req.method == "PUT")
    {
        ++counts_["object_writes"];
        write_object(key, req.body);
        return send_json(reply, 200, json::object());
    }
    ++counts_["object_reads"];
    auto const it = objects_.find(key);
    if (it == objects_.end())
        return send_json(reply, 404, error_body("no such object"));
    reply.send(200, it->second, {{"Content-Type", "application/octet-stream"}});
}

void platform_service::write_object(std::string const& key,
                                    std::string const& bytes)
{
    auto const it = objects_.find(key);
    auto const before =
        it == objects_.end() ? std::nullopt : std::optional(it->second);
    object_undo_.record(steady_now(),
                        [this, key, before]
                        {
                            if (before)
                                objects_[key] = *before;
                            else
                                objects_.erase(key);
                        });
    objects_[key] = bytes;
}

void platform_service::vms(i_http_reply& reply)
{
    std::lock_guard const lock(mutex_);
    ++counts_["vm_reads"];
    send_json(reply, 200, {{"vms", vms_.visible(steady_now())}});
}

void platform_service::weights(http_request const& req, i_http_reply& reply)
{
    std::optional<milliseconds> time;
    {
        std::lock_guard const lock(mutex_);
        if (!weights_throttled_)
            time = weights_.begin();
        ++counts_[time ? "weight_reads" : "weight_refusals"];
    }
    if (!time)
        return send_json(reply, 429, error_body("too many loads"),
                         {{"Retry-After", "1"}});
    std::this_thread::sleep_for(*time);
    {
        std::lock_guard const lock(mutex_);
        weights_.end();
    }
    reply.send(200,
               "weights " + req.parameter("model") + "@" +
                   req.parameter("version"),
               {{"Content-Type", "application/octet-stream"}});
}

void platform_service::admin(http_request const& req, i_http_reply& reply)
{
    std::string const what =
        req.path.substr(std::string_view("/admin/").size());
    if (what == "stats")
        return stats(reply);
    json const body = req.body.empty() ? json::object() : json::parse(req.body);
    if (!switch_failure(what, body))
        return send_json(reply, 404, error_body("no such switch: " + what));
    send_json(reply, 200, json::object());
}

bool platform_service::switch_failure(std::string const& what, json const& body)
{
    std::lock_guard const lock(mutex_);
    if (what == "crash")
        std::_Exit(EXIT_FAILURE);
    else if (what == "freeze")
        freeze_.freeze_for(milliseconds(body.at("ms").get<std::int64_t>()));
    else if (what == "table_down")
        table_down_ = body.value("on", true);
    else if (what == "objects_down")
        objects_down_ = body.value("on", true);
    else if (what == "vms_down")
        vms_down_ = body.value("on", true);
    else if (what == "slow")
        slow_ms_ = body.at("ms").get<std::int64_t>();
    else if (what == "lose_answers")
        answers_to_lose_ = body.at("count").get<std::uint64_t>();
    else if (what == "throttle_weights")
        weights_throttled_ = body.value("on", true);
    else if (what == "vm_stale")
        vms_.set_stale(body.value("on", true), steady_now());
    else if (what == "vm_lag")
        vms_.set_lag(milliseconds(body.at("ms").get<std::int64_t>()));
    else if (what == "vm_put")
        vms_.put(body, steady_now());
    else if (what == "restore")
        drill_.start(milliseconds(body.at("copy_age_ms").get<std::int64_t>()),
                     milliseconds(body.at("away_ms").get<std::int64_t>()),
                     steady_now());
    else if (what == "vm_remove")
        vms_.remove(body.at("id"), steady_now());
    else
        return false;
    return true;
}

void platform_service::stats(i_http_reply& reply)
{
    std::lock_guard const lock(mutex_);
    json body(counts_);
    for (auto const* name : {"transactions", "commits", "conflicts", "reads",
                             "refused", "lost_answers", "weight_reads"})
        body.emplace(name, 0);
    body["rows"] = table_.size();
    body["objects"] = objects_.size();
    body["most_weight_loads_at_once"] = weights_.most();
    send_json(reply, 200, body);
}

} // namespace endiveward::stand_ins
