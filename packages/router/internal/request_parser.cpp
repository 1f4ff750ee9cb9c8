#include "router/request_parser.hpp"

#include "config/types/service_entry.hpp"
#include "config/types/workspace_entry.hpp"
#include "kernel/json_bounds.hpp"
#include "kernel/parse_number.hpp"
#include "router/types/caller_request.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace endiveward::router
{

namespace
{

constexpr std::string_view services_prefix = "/services/";
constexpr std::string_view bearer_scheme = "Bearer ";
constexpr std::size_t max_request_id_bytes = 128;
constexpr std::size_t max_idempotency_key_bytes = 255;

// Headers that are not forwarded to a service: hop-by-hop and transport
// headers, credentials of the caller, and headers that the router itself
// evaluates.
constexpr std::array<std::string_view, 14> non_forwarded_headers{
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-timeout-ms"};

kernel::error invalid(std::string message)
{
    return {kernel::error_kind::invalid_request,
            std::move(message),
            kernel::run_state::not_run,
            {}};
}

bool is_visible_ascii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char it) { return it > ' ' && it < '\x7f'; });
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

/// Returns the path and query after `/services/<name>`.
std::string_view service_target_of(std::string_view target)
{
    auto const rest =
        target.substr(services_prefix.size() + service_name_of(target).size());
    return rest;
}

kernel::result<std::chrono::milliseconds>
timeout_of(caller_request const& request, request_limits const& limits)
{
    auto const text = request.header("x-request-timeout-ms");
    if (text.empty())
        return limits.default_deadline;
    auto const n = kernel::parse_number<std::int64_t>(text);
    if (!n || *n <= 0)
        return invalid("X-Request-Timeout-Ms must be a positive number of "
                       "milliseconds");
    return std::min(std::chrono::milliseconds(*n), limits.max_deadline);
}

kernel::result<call_request>
make_base_call(caller_request const& request,
               config::workspace_entry const& workspace,
               request_limits const& limits)
{
    auto const timeout = timeout_of(request, limits);
    if (!kernel::ok(timeout))
        return kernel::failure(timeout);
    call_request call;
    call.request_id = std::string(request.header("x-request-id"));
    call.workspace = workspace.id;
    call.priority = workspace.priority;
    call.method = request.method;
    call.idempotency_key = std::string(request.header("idempotency-key"));
    call.timeout = kernel::value(timeout);
    return call;
}

/// Returns the text of a message's `content`: a string, or an array of text
/// parts.
std::optional<std::string> text_of(nlohmann::json const& content)
{
    if (content.is_string())
        return content.get<std::string>();
    if (content.is_null())
        return std::string();
    if (!content.is_array())
        return std::nullopt;
    std::string out;
    for (auto const& it : content)
    {
        if (!it.is_object())
            return std::nullopt;
        auto const text = it.find("text");
        if (text != it.end() && text->is_string())
            out += text->get_ref<std::string const&>();
    }
    return out;
}

kernel::result<std::vector<std::string>> chat_parts(nlohmann::json const& body)
{
    auto const messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return invalid("'messages' must be a list with at least one message");
    std::vector<std::string> parts;
    for (auto const& it : *messages)
    {
        if (!it.is_object() || !it.contains("role") || !it["role"].is_string())
            return invalid("each message must be an object with a 'role'");
        auto const text = text_of(it.value("content", nlohmann::json()));
        if (!text)
            return invalid("a message's 'content' must be a string or a list "
                           "of parts");
        parts.push_back(fmt::format(
            "{}\n{}\n", it["role"].get_ref<std::string const&>(), *text));
    }
    return parts;
}

kernel::result<std::vector<std::string>>
prompt_parts(nlohmann::json const& body)
{
    auto const prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string())
        return invalid("'prompt' must be a string");
    return std::vector<std::string>{prompt->get<std::string>()};
}

bool matches(config::service_operation const& operation,
             std::string_view method, std::string_view path)
{
    if (operation.method != method)
        return false;
    std::string_view const pattern = operation.path;
    if (pattern.ends_with('*'))
        return path.starts_with(pattern.substr(0, pattern.size() - 1));
    return pattern == path;
}

bool is_idempotent(config::service_entry const& service,
                   std::string_view method, std::string_view path)
{
    return std::any_of(service.idempotent_operations.begin(),
                       service.idempotent_operations.end(),
                       [&](auto const& it)
                       { return matches(it, method, path); });
}

std::vector<wire::header> forwarded_headers(caller_request const& request)
{
    std::vector<wire::header> out;
    for (auto const& it : request.headers)
    {
        if (std::find(non_forwarded_headers.begin(),
                      non_forwarded_headers.end(),
                      it.name) == non_forwarded_headers.end())
            out.push_back(it);
    }
    return out;
}

} // namespace

kernel::result<kernel::done> check_request(caller_request const& request,
                                           request_limits const& limits)
{
    if (request.body.size() > limits.max_body_bytes)
        return kernel::error{
            kernel::error_kind::body_too_large,
            fmt::format("the body has more than {} bytes; send a smaller one",
                        limits.max_body_bytes),
            kernel::run_state::not_run,
            {}};
    std::size_t header_bytes = request.target.size();
    for (auto const& it : request.headers)
        header_bytes += it.name.size() + it.value.size();
    if (header_bytes > limits.max_header_bytes)
        return invalid(fmt::format("the headers have more than {} bytes; send "
                                   "smaller ones",
                                   limits.max_header_bytes));
    auto const key = request.header("idempotency-key");
    if (key.size() > max_idempotency_key_bytes || !is_visible_ascii(key))
        return invalid(fmt::format("Idempotency-Key must have 1 to {} visible "
                                   "ASCII characters",
                                   max_idempotency_key_bytes));
    return kernel::done{};
}

kernel::result<call_request>
parse_completion(caller_request const& request,
                 config::workspace_entry const& workspace, bool chat,
                 request_limits const& limits)
{
    auto base = make_base_call(request, workspace, limits);
    if (!kernel::ok(base))
        return base;
    auto call = kernel::value(std::move(base));
    if (!kernel::is_within_json_bounds(request.body))
        return invalid(fmt::format(
            "the body has more than {} levels or {} values; send a simpler one",
            kernel::max_json_levels, kernel::max_json_values));
    auto const body =
        nlohmann::json::parse(request.body, nullptr, false /* no exceptions */);
    if (!body.is_object())
        return invalid("the body must be a JSON object");
    auto const model = body.find("model");
    if (model == body.end() || !model->is_string())
        return invalid("'model' must be a string");
    auto const stream = body.value("stream", nlohmann::json(false));
    if (!stream.is_boolean() && !stream.is_null())
        return invalid("'stream' must be true or false");
    auto parts = chat ? chat_parts(body) : prompt_parts(body);
    if (!kernel::ok(parts))
        return kernel::failure(parts);
    call.model = kernel::model_id(model->get<std::string>());
    call.path = path_of(request.target);
    call.headers = {{"content-type", "application/json"}};
    call.body = request.body;
    call.prompt_parts = kernel::value(std::move(parts));
    call.streaming = stream.is_boolean() && stream.get<bool>();
    call.idempotent =
        call.idempotency_key.empty() && !workspace.completions_at_most_once;
    return call;
}

kernel::result<call_request> parse_service_call(
    caller_request const& request, config::workspace_entry const& workspace,
    config::service_entry const* service, request_limits const& limits)
{
    if (service == nullptr)
        return kernel::error{
            kernel::error_kind::service_not_found,
            "no service has this name; check the path's second part",
            kernel::run_state::not_run,
            {}};
    auto base = make_base_call(request, workspace, limits);
    if (!kernel::ok(base))
        return base;
    auto call = kernel::value(std::move(base));
    auto const target = service_target_of(request.target);
    call.target = wire::target_kind::service;
    call.service = service->id;
    call.path = target.starts_with('/') ? target : fmt::format("/{}", target);
    call.headers = forwarded_headers(request);
    call.body = request.body;
    call.idempotent =
        call.idempotency_key.empty() &&
        is_idempotent(*service, request.method, path_of(call.path));
    return call;
}

std::string_view service_name_of(std::string_view target)
{
    auto const path = path_of(target);
    if (!path.starts_with(services_prefix))
        return {};
    auto const rest = path.substr(services_prefix.size());
    return rest.substr(0, rest.find('/'));
}

std::string_view bearer_token_of(caller_request const& request)
{
    auto const value = request.header("authorization");
    if (!value.starts_with(bearer_scheme))
        return {};
    return value.substr(bearer_scheme.size());
}

bool is_valid_request_id(std::string_view id)
{
    return !id.empty() && id.size() <= max_request_id_bytes &&
           is_visible_ascii(id);
}

} // namespace endiveward::router
