#include "agent/internal/endpoint_request_builder.hpp"

#include "kernel/json_bounds.hpp"
#include "kernel/types/hash128.hpp"
#include "wire/types/invoke.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>
#include <utility>

namespace endiveward::agent
{

namespace
{

// Headers that are not forwarded, because they are specific to a connection or
// set by the agent.
constexpr std::array<std::string_view, 13> reserved_headers{"authorization",
                                                            "connection",
                                                            "content-length",
                                                            "expect",
                                                            "host",
                                                            "keep-alive",
                                                            "te",
                                                            "trailer",
                                                            "transfer-encoding",
                                                            "upgrade",
                                                            "x-model-version",
                                                            "x-stream-id",
                                                            "accept-encoding"};

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

bool is_reserved_header(std::string const& name)
{
    return std::find(reserved_headers.begin(), reserved_headers.end(), name) !=
           reserved_headers.end();
}

// Guards against header injection: a line break would let the caller add
// headers.
bool is_valid_header_text(std::string const& text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) ==
           std::string::npos;
}

std::vector<wire::header> forwarded_headers(wire::invoke const& call)
{
    std::vector<wire::header> headers;
    for (auto const& it : call.headers)
    {
        auto const name = to_lower(it.name);
        // The endpoint client sets the content type of engine requests.
        bool const replaced =
            call.target == wire::target_kind::engine && name == "content-type";
        if (!name.empty() && !replaced && !is_reserved_header(name) &&
            is_valid_header_text(name) && is_valid_header_text(it.value))
            headers.push_back(it);
    }
    return headers;
}

kernel::error invalid(std::string message)
{
    return {kernel::error_kind::invalid_request,
            std::move(message),
            kernel::run_state::not_run,
            {}};
}

} // namespace

kernel::result<endpoint_request>
build_endpoint_request(wire::invoke const& call, std::string const& salt)
{
    endpoint_request request;
    request.target = call.target;
    request.method = call.method;
    request.path = call.path;
    request.headers = forwarded_headers(call);
    request.body = call.body;
    request.streaming = call.streaming;
    if (call.target == wire::target_kind::service)
        return request;
    if (!kernel::is_within_json_bounds(call.body))
        return invalid("the body has too many levels or values; send a simpler "
                       "one");
    auto body = nlohmann::json::parse(call.body, nullptr, false);
    if (!body.is_object())
        return invalid("the body is not a JSON object; send a completion "
                       "request");
    body["cache_salt"] = salt;
    body["priority"] = call.priority;
    request.body = body.dump();
    request.stream_id = kernel::to_hex(call.stream_id);
    request.model_version = call.version.str();
    return request;
}

} // namespace endiveward::agent
