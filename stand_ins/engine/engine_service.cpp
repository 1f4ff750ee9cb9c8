#include "engine/engine_service.hpp"

#include "engine/prompt.hpp"

#include <curl/curl.h>
#include <fmt/format.h>

#include <cstdlib>
#include <random>

namespace endiveward::stand_ins
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t bytes_per_token = 4;

std::uint64_t random_incarnation()
{
    std::random_device source;
    std::uint64_t const high = source();
    // Stays within the integers that JSON readers represent exactly.
    return ((high << 16U) ^ source()) % ((1ULL << 53U) - 1) + 1;
}

kernel::steady_time steady_now()
{
    return std::chrono::steady_clock::now();
}

std::optional<kernel::hash128> parse_hash(std::string const& hex)
{
    if (hex.size() != 32 ||
        hex.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
        return std::nullopt;
    return kernel::hash128{std::stoull(hex.substr(0, 16), nullptr, 16),
                           std::stoull(hex.substr(16), nullptr, 16)};
}

json error_body(std::string const& message)
{
    return {{"error", {{"message", message}}}};
}

void send_json(i_http_reply& reply, int status, json const& body,
               header_map headers = {})
{
    reply.send(status, body.dump(), std::move(headers));
}

bool starts_with(std::string const& text, std::string_view prefix)
{
    return text.rfind(prefix, 0) == 0;
}

std::size_t discard_bytes(char*, std::size_t size, std::size_t n, void*)
{
    return size * n;
}

std::string query_escaped(std::string const& text)
{
    char* const escaped =
        curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size()));
    std::string copy(escaped);
    curl_free(escaped);
    return copy;
}

// As curl_easy_perform only; the status is 0 if there was no answer.
int get_status(std::string const& url)
{
    CURL* const handle = curl_easy_init();
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, discard_bytes);
    long status = 0;
    if (curl_easy_perform(handle) == CURLE_OK)
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(handle);
    return static_cast<int>(status);
}

} // namespace

engine_service::engine_service(engine_options options)
    : options_(std::move(options))
    , incarnation_(random_incarnation())
    , batch_(options_.capacity)
    , cache_(options_.cache_blocks)
    , events_(options_.event_lag, options_.event_loss, options_.seed)
    , models_(options_.checks_fencing)
{
    for (auto const& which : parse_weights(options_.weights))
        models_.add(which);
}

engine_service::~engine_service()
{
    stopping_ = true;
    {
        std::lock_guard const lock(mutex_);
        for (auto const& [id, work] : jobs_)
            work->events.cancel();
    }
    batch_.wake();
    while (generators_ > 0)
        std::this_thread::sleep_for(milliseconds(1));
}

void engine_service::handle(http_request const& req, i_http_reply& reply)
{
    if (starts_with(req.path, "/admin/"))
        return admin(req, reply);
    freeze_.pass();
    drop_old_jobs();
    if (req.path == "/v1/chat/completions" || req.path == "/v1/completions")
        return complete(req, reply);
    if (starts_with(req.path, "/v1/streams/"))
        return req.method == "DELETE" ? cancel(req, reply) : resume(req, reply);
    if (req.path == "/v1/load")
        return load(reply);
    if (req.path == "/v1/cache/blocks")
        return list_blocks(reply);
    if (req.path == "/v1/cache/events")
        return list_events(req, reply);
    if (req.path == "/v1/orders")
        return order(req, reply);
    if (starts_with(req.path, "/v1/kv/"))
        return kv(req, reply);
    send_json(reply, 404, error_body("no such operation: " + req.path));
}

void engine_service::complete(http_request const& req, i_http_reply& reply)
{
    json const body = json::parse(req.body);
    std::string const salt = body.value("cache_salt", "");
    if (!salt.empty() && !parse_hash(salt))
        return send_json(reply, 400,
                         error_body("write cache_salt as 32 hex digits"));
    std::optional<std::string> version;
    {
        std::lock_guard const lock(mutex_);
        ++counts_["requests"];
        version = models_.find(body.value("model", ""),
                               req.header("x-model-version"));
    }
    if (!version)
        return send_json(reply, 404, error_body("model version not loaded"));
    if (crash_on_start_)
        std::_Exit(EXIT_FAILURE);
    auto const work = make_job(req, body, *version);
    ++generators_;
    std::thread(
        [this, work]
        {
            run(*work);
            --generators_;
        })
        .detach();
    if (body.value("stream", false))
    {
        reply.begin(200, engine_headers(*version));
        return send_events(*work, 0, reply);
    }
    bool const finished = work->events.wait_for_end();
    work->events.detach_reader(steady_now());
    freeze_.pass();
    if (!finished)
        return send_json(reply, 499, error_body("cancelled"));
    if (takes_break())
        return reply.break_connection();
    auto headers = engine_headers(*version);
    headers["Content-Type"] = "application/json";
    send_json(reply, 200, whole_answer(*work), std::move(headers));
}

engine_service::job_ptr engine_service::make_job(http_request const& req,
                                                 json body, std::string version)
{
    auto work = std::make_shared<job>();
    work->id = req.header("x-stream-id");
    work->chat = req.path == "/v1/chat/completions";
    work->version = std::move(version);
    work->priority = body.value("priority", 0);
    work->body = std::move(body);
    work->events.attach_reader();
    std::lock_guard const lock(mutex_);
    if (work->id.empty())
        work->id = fmt::format("unnamed-{}", counts_["requests"]);
    jobs_[work->id] = work;
    return work;
}

void engine_service::run(job& work)
{
    auto const place = batch_.join(work.priority);
    bool const starts = batch_.wait_and_start(
        place, [&work] { return work.events.cancelled(); });
    if (starts)
    {
        {
            std::lock_guard const lock(mutex_);
            ++counts_["executions"];
            ++executions_by_marker_[request_marker(work.body)];
        }
        prefill(work);
        generate(work);
        batch_.leave();
    }
    std::lock_guard const lock(mutex_);
    ++counts_[work.events.finished() ? "completed" : "cancelled"];
}

void engine_service::prefill(job& work)
{
    std::string const prompt = prompt_text(work.body);
    auto const salt = parse_hash(work.body.value("cache_salt", ""))
                          .value_or(kernel::hash128());
    auto const blocks = block_hashes(salt, prompt);
    constexpr std::size_t block_bytes = 1024;
    std::size_t uncached = 0;
    {
        std::lock_guard const lock(mutex_);
        std::size_t const cached = cache_.use(blocks) * block_bytes;
        uncached = prompt.size() - cached;
        work.cached_bytes = cached;
        work.prompt_bytes = prompt.size();
        counts_["prompt_bytes"] += prompt.size();
        counts_["cached_bytes"] += cached;
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(
        static_cast<double>(uncached) /
        static_cast<double>(options_.prefill_bytes_per_second)));
    std::lock_guard const lock(mutex_);
    events_.add(cache_.store(blocks), steady_now());
}

void engine_service::generate(job& work)
{
    std::string separator;
    for (auto const& token : answer_tokens(work.body))
    {
        std::this_thread::sleep_for(options_.token_interval);
        freeze_.pass();
        if (work.events.abandoned(steady_now(), options_.stream_retention))
            work.events.cancel();
        if (!work.events.add(token_event(work, separator + token)))
            return;
        separator = " ";
    }
    json last = json::parse(token_event(work, ""));
    last["choices"][0]["finish_reason"] = "stop";
    last["usage"] = usage(work);
    work.events.add(last.dump());
    work.events.finish();
}

json engine_service::usage(job const& work) const
{
    std::size_t const prompt = work.prompt_bytes / bytes_per_token;
    std::size_t const answer = answer_tokens(work.body).size();
    return {{"prompt_tokens", prompt},
            {"completion_tokens", answer},
            {"total_tokens", prompt + answer},
            {"prompt_tokens_details",
             {{"cached_tokens", work.cached_bytes / bytes_per_token}}}};
}

json engine_service::whole_answer(job const& work) const
{
    json choice{{"index", 0}, {"finish_reason", "stop"}};
    std::string const text = answer_text(work.body);
    if (work.chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    return {{"id", work.id},
            {"object", work.chat ? "chat.completion" : "text_completion"},
            {"model", work.body.value("model", "")},
            {"choices", json::array({choice})},
            {"usage", usage(work)}};
}

std::string engine_service::token_event(job const& work,
                                        std::string const& text) const
{
    json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (work.chat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    return json{
        {"id", work.id},
        {"object", work.chat ? "chat.completion.chunk" : "text_completion"},
        {"model", work.body.value("model", "")},
        {"choices", json::array({choice})}}
        .dump();
}

void engine_service::send_events(job& work, std::size_t from,
                                 i_http_reply& reply)
{
    bool connected = true;
    for (std::size_t n = from; connected; ++n)
    {
        auto const event = work.events.wait_for_event(n);
        freeze_.pass();
        if (!event)
            break;
        if (takes_break())
        {
            reply.break_connection();
            connected = false;
            break;
        }
        connected = reply.write(fmt::format("id: {}\ndata: {}\n\n", n, *event));
    }
    work.events.detach_reader(steady_now());
    if (!connected)
        return;
    if (work.events.cancelled())
        return reply.break_connection();
    reply.write("data: [DONE]\n\n");
    reply.finish();
}

bool engine_service::takes_break()
{
    std::lock_guard const lock(mutex_);
    if (break_times_ == 0)
        return false;
    if (break_after_ > 0)
    {
        --break_after_;
        return false;
    }
    --break_times_;
    break_after_ = break_interval_;
    ++counts_["broken_connections"];
    return true;
}

void engine_service::resume(http_request const& req, i_http_reply& reply)
{
    auto const work =
        find_job(req.path.substr(std::string_view("/v1/streams/").size()));
    if (!work || work->events.cancelled())
        return send_json(reply, 404, error_body("unknown stream"));
    work->events.attach_reader();
    {
        std::lock_guard const lock(mutex_);
        ++counts_["resumed"];
    }
    reply.begin(200, engine_headers(work->version));
    send_events(*work, std::stoull(req.parameter("from", "0")), reply);
}

void engine_service::cancel(http_request const& req, i_http_reply& reply)
{
    auto const work =
        find_job(req.path.substr(std::string_view("/v1/streams/").size()));
    if (!work)
        return send_json(reply, 404, error_body("unknown stream"));
    work->events.cancel();
    batch_.wake();
    send_json(reply, 200, json::object());
}

engine_service::job_ptr engine_service::find_job(std::string const& id)
{
    std::lock_guard const lock(mutex_);
    auto const it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second;
}

void engine_service::drop_old_jobs()
{
    std::lock_guard const lock(mutex_);
    for (auto it = jobs_.begin(); it != jobs_.end();)
    {
        auto& events = it->second->events;
        bool const old =
            events.abandoned(steady_now(), options_.stream_retention);
        if (old)
            events.cancel();
        it = old ? jobs_.erase(it) : std::next(it);
    }
    batch_.wake();
}

json engine_service::models_json()
{
    json models = json::array();
    for (auto const& [model, version] : models_.loaded())
        models.push_back({{"model", model}, {"version", version}});
    return models;
}

void engine_service::load(i_http_reply& reply)
{
    std::lock_guard const lock(mutex_);
    auto const now = steady_now();
    if (!reported_load_ || now - load_reported_at_ >= options_.load_lag)
    {
        reported_load_ = json{{"incarnation", incarnation_},
                              {"running", batch_.running()},
                              {"waiting", batch_.waiting()},
                              {"capacity", batch_.capacity()},
                              {"models", models_json()}};
        load_reported_at_ = now;
    }
    send_json(reply, 200, *reported_load_);
}

void engine_service::list_blocks(i_http_reply& reply)
{
    std::lock_guard const lock(mutex_);
    json blocks = json::array();
    for (auto const& block : cache_.blocks())
        blocks.push_back(kernel::to_hex(block));
    send_json(reply, 200,
              {{"incarnation", incarnation_},
               {"last_event", events_.last()},
               {"blocks", blocks}});
}

void engine_service::list_events(http_request const& req, i_http_reply& reply)
{
    auto const after = std::stoull(req.parameter("after", "0"));
    auto const until =
        steady_now() + milliseconds(std::stoll(req.parameter("wait_ms", "0")));
    std::vector<cache_event_record> found;
    while (true)
    {
        if (auto const old = take_old_events())
            return send_json(reply, 200, *old);
        {
            std::lock_guard const lock(mutex_);
            found = events_.after(after, steady_now());
        }
        if (!found.empty() || steady_now() >= until || stopping_)
            break;
        std::this_thread::sleep_for(milliseconds(5));
    }
    json events = json::array();
    for (auto const& event : found)
        events.push_back({{"number", event.number},
                          {"kind", event.stored ? "stored" : "evicted"},
                          {"block", kernel::to_hex(event.block)}});
    freeze_.pass();
    send_json(reply, 200, {{"incarnation", incarnation_}, {"events", events}});
}

std::optional<json> engine_service::take_old_events()
{
    std::lock_guard const lock(mutex_);
    if (old_event_times_ == 0)
        return std::nullopt;
    --old_event_times_;
    ++counts_["old_events"];
    return old_events_;
}

void engine_service::order(http_request const& req, i_http_reply& reply)
{
    json const body = json::parse(req.body);
    std::string const kind = body.at("order");
    model_set::model_version const which{body.value("model", ""),
                                         body.value("version", "")};
    {
        std::lock_guard const lock(mutex_);
        if (!models_.accept_order(body.value("fencing_number", 0ULL)))
        {
            ++counts_["orders_refused"];
            return send_json(reply, 409, error_body("old fencing number"));
        }
        ++counts_["orders"];
        if (kind == "unload")
            models_.remove(which);
        else if (kind == "set_role")
            role_ = body.value("role", "");
        else if (kind != "load")
            return send_json(reply, 400, error_body("unknown order " + kind));
    }
    if (kind == "load")
    {
        int const status = fetch_weights(which);
        if (status != 200)
            return send_json(
                reply, 503,
                error_body(fmt::format("weights store answered {}", status)));
        std::lock_guard const lock(mutex_);
        models_.add(which);
        ++counts_["weight_loads"];
    }
    send_json(reply, 200, json::object());
}

int engine_service::fetch_weights(model_set::model_version const& which)
{
    if (options_.weights_url.empty())
    {
        std::this_thread::sleep_for(options_.load_time);
        return 200;
    }
    return get_status(
        fmt::format("{}/v1/weights?model={}&version={}", options_.weights_url,
                    query_escaped(which.first), query_escaped(which.second)));
}

void engine_service::kv(http_request const& req, i_http_reply& reply)
{
    auto const block =
        parse_hash(req.path.substr(std::string_view("/v1/kv/").size()));
    if (!block || !parse_hash(req.header("x-cache-salt")))
        return send_json(reply, 400,
                         error_body("block and X-Cache-Salt: 32 hex digits"));
    // The exported bytes name salt and block, so that an import under another
    // salt is detected.
    std::string const content =
        "kv " + req.header("x-cache-salt") + " " + kernel::to_hex(*block);
    std::lock_guard const lock(mutex_);
    if (req.method == "PUT")
    {
        if (req.body != content)
            return send_json(reply, 409, error_body("KV cache of other salt"));
        events_.add(cache_.store(std::span(&*block, 1)), steady_now());
        ++counts_["kv_imported"];
        return send_json(reply, 200, json::object());
    }
    if (!cache_.contains(*block))
        return send_json(reply, 404, error_body("block not cached"));
    ++counts_["kv_exported"];
    reply.send(200, content, {{"Content-Type", "application/octet-stream"}});
}

void engine_service::admin(http_request const& req, i_http_reply& reply)
{
    std::string const what =
        req.path.substr(std::string_view("/admin/").size());
    if (what == "stats")
        return stats(reply);
    json const body = req.body.empty() ? json::object() : json::parse(req.body);
    if (what == "crash")
        std::_Exit(EXIT_FAILURE);
    else if (what == "crash_on_start")
        crash_on_start_ = true;
    else if (what == "wrong_version")
        wrong_version_ = body.value("on", true);
    else if (what == "freeze")
        freeze_.freeze_for(milliseconds(body.at("ms").get<std::int64_t>()));
    else if (what == "break_connection")
    {
        std::lock_guard const lock(mutex_);
        break_interval_ = body.at("after_events").get<std::int64_t>();
        break_after_ = break_interval_;
        break_times_ = body.value("times", 1ULL);
    }
    else if (what == "lose_events")
    {
        std::lock_guard const lock(mutex_);
        events_.lose_next(body.at("count").get<std::uint64_t>());
    }
    else if (what == "old_events")
    {
        std::lock_guard const lock(mutex_);
        old_events_ = {{"incarnation", body.at("incarnation")},
                       {"events", body.at("events")}};
        old_event_times_ = body.value("times", 1ULL);
    }
    else if (what == "forget_streams")
    {
        std::lock_guard const lock(mutex_);
        jobs_.clear();
    }
    else
        return send_json(reply, 404, error_body("no such switch: " + what));
    send_json(reply, 200, json::object());
}

void engine_service::stats(i_http_reply& reply)
{
    std::lock_guard const lock(mutex_);
    json body(counts_);
    for (auto const* name : {"requests", "executions", "completed", "cancelled",
                             "cached_bytes", "prompt_bytes", "resumed",
                             "orders", "orders_refused", "weight_loads"})
        body.emplace(name, 0);
    body["incarnation"] = incarnation_;
    body["executions_by_marker"] = executions_by_marker_;
    body["events_lost"] = events_.lost();
    body["cached_blocks"] = cache_.blocks().size();
    body["running"] = batch_.running();
    body["waiting"] = batch_.waiting();
    body["role"] = role_;
    body["models"] = models_json();
    send_json(reply, 200, body);
}

header_map engine_service::engine_headers(std::string const& version) const
{
    return {{"Content-Type", "text/event-stream"},
            {"X-Model-Version", wrong_version_ ? "unknown" : version},
            {"X-Engine-Incarnation", std::to_string(incarnation_)}};
}

} // namespace endiveward::stand_ins
