#include "agent/internal/endpoint_call_builder.hpp"

#include "kernel/types/hash128.hpp"
#include "wire/types/invoke.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

namespace endiveward::agent
{

namespace
{

// Fields that belong to a connection, or that the agent sets itself.
constexpr std::array<std::string_view, 13> own_fields{"authorization",
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

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

bool is_own_field(std::string const& name)
{
    return std::find(own_fields.begin(), own_fields.end(), name) !=
           own_fields.end();
}

// A line break in a field would add fields of the caller's choice.
bool is_safe(std::string const& text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) ==
           std::string::npos;
}

std::vector<wire::header> forwarded_fields(wire::invoke const& call)
{
    std::vector<wire::header> fields;
    for (auto const& it : call.headers)
    {
        auto const name = lower(it.name);
        // The client sets the content type of engine requests itself.
        bool const replaced =
            call.target == wire::target_kind::engine && name == "content-type";
        if (!name.empty() && !replaced && !is_own_field(name) &&
            is_safe(name) && is_safe(it.value))
            fields.push_back(it);
    }
    return fields;
}

} // namespace

kernel::result<endpoint_request> build_endpoint_call(wire::invoke const& call,
                                                     std::string const& salt)
{
    endpoint_request request;
    request.target = call.target;
    request.method = call.method;
    request.path = call.path;
    request.headers = forwarded_fields(call);
    request.body = call.body;
    request.streaming = call.streaming;
    if (call.target == wire::target_kind::service)
        return request;
    auto body = nlohmann::json::parse(call.body, nullptr, false);
    if (!body.is_object())
        return kernel::error{kernel::error_kind::invalid_request,
                             "the body is not a JSON object; send a completion "
                             "request",
                             kernel::run_state::not_run,
                             {}};
    body["cache_salt"] = salt;
    body["priority"] = call.priority;
    request.body = body.dump();
    request.stream_id = kernel::to_hex(call.stream_id);
    request.model_version = call.version.str();
    return request;
}

} // namespace endiveward::agent
