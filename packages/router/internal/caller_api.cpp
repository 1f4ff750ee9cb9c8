#include "router/caller_api.hpp"

#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "config/types/model_entry.hpp"
#include "config/types/routing_key.hpp"
#include "config/types/workspace_entry.hpp"
#include "kernel/i_random_source.hpp"
#include "kernel/thread_pool.hpp"
#include "kernel/types/hash128.hpp"
#include "router/call_relay.hpp"
#include "router/error_body.hpp"
#include "router/i_caller_response.hpp"
#include "router/request_parser.hpp"
#include "router/router_metrics.hpp"
#include "router/types/caller_request.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>
#include <unordered_map>

namespace endiveward::router
{

namespace
{

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view completion_path = "/v1/completions";
constexpr std::string_view models_path = "/v1/models";
constexpr int method_not_allowed = 405;

kernel::error not_run(kernel::error_kind kind, std::string message)
{
    return {kind, std::move(message), kernel::run_state::not_run, {}};
}

} // namespace

class caller_api::impl : public std::enable_shared_from_this<caller_api::impl>
{
    caller_api_options const options_;

public:
    explicit impl(caller_api_options options)
        : options_(std::move(options))
        , limits_{options_.max_body_bytes, options_.max_header_bytes,
                  options_.default_deadline, options_.max_deadline}
    {
    }

    std::function<void()> handle(caller_request request,
                                 std::shared_ptr<i_caller_response> response)
    {
        ensure_request_id(request);
        auto const checked = check_request(request, limits_);
        if (!kernel::ok(checked))
            return refuse(request, *response, kernel::failure(checked));
        if (refusing_)
            return refuse(request, *response,
                          not_run(kernel::error_kind::draining,
                                  "this process is stopping; retry on a new "
                                  "connection"));
        if (options_.refusal)
        {
            if (auto const reason = options_.refusal())
                return refuse(request, *response, *reason);
        }
        // Keeps the configuration alive while its workspace entry is in use.
        auto const config = options_.services->configuration->current();
        auto const* workspace = config->authenticate(bearer_token_of(request));
        if (workspace == nullptr)
            return refuse(request, *response,
                          not_run(kernel::error_kind::invalid_key,
                                  "the API key is missing or unknown; send "
                                  "'Authorization: Bearer <key>'"));
        return route(request, std::move(response), *config, *workspace);
    }

    void refuse_new_calls() { refusing_ = true; }

    std::size_t active_calls() const
    {
        std::lock_guard const lock(mutex_);
        return calls_.size();
    }

private:
    /// Replaces a missing or malformed request ID.
    void ensure_request_id(caller_request& request) const
    {
        if (is_valid_request_id(request.header("x-request-id")))
            return;
        auto& random = *options_.services->random;
        std::erase_if(request.headers,
                      [](auto const& it) { return it.name == "x-request-id"; });
        request.headers.push_back(
            {"x-request-id",
             kernel::to_hex(kernel::hash128{random.next(), random.next()})});
    }

    std::function<void()> route(caller_request const& request,
                                std::shared_ptr<i_caller_response> response,
                                config::i_configuration const& config,
                                config::workspace_entry const& workspace)
    {
        auto const path = std::string_view(request.target)
                              .substr(0, request.target.find('?'));
        if (path == models_path)
            return list_models(request, *response, config, workspace);
        bool const chat = path == chat_path;
        if (chat || path == completion_path)
        {
            if (request.method != "POST")
                return refuse_method(request, *response, "POST");
            return run(request, std::move(response),
                       parse_completion(request, workspace, chat, limits_));
        }
        auto const service = service_name_of(request.target);
        if (!service.empty())
            return run(
                request, std::move(response),
                parse_service_call(request, workspace,
                                   config.find_service(kernel::service_id(
                                       std::string(service))),
                                   limits_));
        return refuse(request, *response,
                      not_run(kernel::error_kind::not_found,
                              "unknown path; use /v1/chat/completions, "
                              "/v1/completions, /v1/models or "
                              "/services/<name>/..."));
    }

    std::function<void()> run(caller_request const& request,
                              std::shared_ptr<i_caller_response> response,
                              kernel::result<call_request> parsed)
    {
        if (!kernel::ok(parsed))
            return refuse(request, *response, kernel::failure(parsed));
        std::lock_guard const lock(mutex_);
        auto const id = ++last_call_;
        auto const call = std::make_shared<call_relay>(
            options_.traffic->next_context(), options_.services,
            kernel::value(std::move(parsed)), std::move(response),
            [self = shared_from_this(), id] { self->remove(id); });
        calls_.emplace(id, call);
        options_.services->metrics->set_calls(calls_.size());
        call->start();
        return [weak = std::weak_ptr<call_relay>(call)]
        {
            if (auto const it = weak.lock())
                it->on_call_event(caller_disconnected{});
        };
    }

    void remove(std::uint64_t id)
    {
        std::lock_guard const lock(mutex_);
        calls_.erase(id);
        options_.services->metrics->set_calls(calls_.size());
    }

    static std::vector<wire::header> json_fields(caller_request const& request)
    {
        return {{"Content-Type", "application/json"},
                {"X-Request-Id", std::string(request.header("x-request-id"))}};
    }

    std::function<void()> refuse(caller_request const& request,
                                 i_caller_response& response,
                                 kernel::error const& failure) const
    {
        return refuse_with_status(request, response, failure,
                                  kernel::http_status(failure.kind));
    }

    std::function<void()> refuse_method(caller_request const& request,
                                        i_caller_response& response,
                                        std::string const& allowed) const
    {
        return refuse_with_status(request, response,
                                  not_run(kernel::error_kind::invalid_request,
                                          "wrong method; use " + allowed),
                                  method_not_allowed);
    }

    std::function<void()> refuse_with_status(caller_request const& request,
                                             i_caller_response& response,
                                             kernel::error const& failure,
                                             int status) const
    {
        auto fields = json_fields(request);
        add_retry_after(failure, fields);
        options_.services->metrics->on_response(
            kernel::to_string(failure.kind));
        response.send_complete(status, fields, make_error_body(failure) + "\n");
        return {};
    }

    /// Lists the models that the rules allow the workspace to use.
    std::function<void()>
    list_models(caller_request const& request, i_caller_response& response,
                config::i_configuration const& config,
                config::workspace_entry const& workspace) const
    {
        if (request.method != "GET")
            return refuse_method(request, response, "GET");
        auto data = nlohmann::json::array();
        for (auto const& id : config.models())
        {
            if (can_use_model(config, workspace, id))
                data.push_back({{"id", id.str()},
                                {"object", "model"},
                                {"created", 0},
                                {"owned_by", "endiveward"}});
        }
        nlohmann::json const body{{"object", "list"},
                                  {"data", std::move(data)}};
        options_.services->metrics->on_response("ok");
        response.send_complete(200, json_fields(request), body.dump() + "\n");
        return {};
    }

    static bool can_use_model(config::i_configuration const& config,
                              config::workspace_entry const& workspace,
                              kernel::model_id const& id)
    {
        auto const* model = config.find_model(id);
        if (model == nullptr)
            return false;
        for (auto const& it : model->versions)
        {
            auto const allowed =
                config.allowed_endpoints({workspace.id, id, it.version, {}});
            if (allowed && !allowed->empty())
                return true;
        }
        return false;
    }

    request_limits const limits_;
    std::atomic<bool> refusing_{false};
    mutable std::mutex mutex_;
    std::uint64_t last_call_ = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<call_relay>> calls_;
};

caller_api::caller_api(caller_api_options options)
    : impl_(std::make_shared<impl>(std::move(options)))
{
}

caller_api::~caller_api() = default;

std::function<void()>
caller_api::handle(caller_request request,
                   std::shared_ptr<i_caller_response> response)
{
    return impl_->handle(std::move(request), std::move(response));
}

void caller_api::refuse_new_calls()
{
    impl_->refuse_new_calls();
}

std::size_t caller_api::active_calls() const
{
    return impl_->active_calls();
}

} // namespace endiveward::router
