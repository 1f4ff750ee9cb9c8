#include "gateway/request_builder.hpp"

#include "gateway/http/connection_fields.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <string_view>

namespace endiveward::gateway
{

namespace
{

bool is_reserved(std::string_view name, header_field_names const& names)
{
    return std::any_of(names.reserved.begin(), names.reserved.end(),
                       [name](auto const& it)
                       { return equal_names(it, name); });
}

bool has_body(http_request const& request)
{
    return !request.body.empty() || request.method == "POST" ||
           request.method == "PUT" || request.method == "PATCH";
}

class request_writer
{
public:
    request_writer()
    {
        constexpr std::size_t usual_head_bytes = 1024;
        out_.reserve(usual_head_bytes);
    }

    template <typename T>
    void field(std::string_view name, T const& value)
    {
        fmt::format_to(std::back_inserter(out_), "{}: {}\r\n", name, value);
    }

    std::string& text() { return out_; }

private:
    std::string out_;
};

} // namespace

std::string build_request_head(http_request const& request,
                               forward_fields const& fields,
                               header_field_names const& names)
{
    request_writer writer;
    connection_fields const hop_by_hop(request.headers);
    auto& out = writer.text();
    fmt::format_to(std::back_inserter(out), "{} {} HTTP/1.1\r\n",
                   request.method, request.target);
    // A caller must not be able to remove these by listing them in
    // `Connection`.
    auto const is_kept = [&](std::string_view name)
    {
        return equal_names(name, "Host") ||
               equal_names(name, names.request_id) ||
               equal_names(name, names.model) ||
               equal_names(name, names.token_counts) ||
               equal_names(name, names.prompt_parts);
    };
    for (auto const it : request.headers)
    {
        if (!is_kept(it.name) &&
            (hop_by_hop.contains(it.name) || is_reserved(it.name, names) ||
             equal_names(it.name, "Expect")))
            continue;
        if (equal_names(it.name, names.last_event_id) &&
            (!fields.forwards_last_event_id || fields.resume_after))
            continue;
        writer.field(it.name, it.value);
    }
    if (has_body(request))
        writer.field("Content-Length", request.body.size());
    writer.field(names.deadline, fields.time_left.count());
    writer.field(names.expected_endpoint, fields.endpoint.str());
    if (fields.workspace)
        writer.field(names.workspace, fields.workspace->str());
    if (fields.resume_after)
        writer.field(names.last_event_id, *fields.resume_after);
    if (!fields.cache_salt.empty())
        writer.field(names.cache_salt, fields.cache_salt);
    if (fields.version != 0)
        writer.field(names.expected_version, fields.version);
    if (fields.priority)
        writer.field(names.priority, *fields.priority);
    if (!fields.kv.source.empty())
        writer.field(names.kv_source, fields.kv.source);
    if (!fields.kv.target.empty())
        writer.field(names.kv_target, fields.kv.target);
    out += "\r\n";
    return std::move(out);
}

} // namespace endiveward::gateway
