#include "gateway/response_rules.hpp"

#include "gateway/http/connection_fields.hpp"
#include "gateway/http/response_head.hpp"
#include "gateway/types/header_field_names.hpp"

#include <fmt/format.h>

namespace endiveward::gateway
{

namespace
{

constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_misdirected = 421;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr char const* retry_after_field = "Retry-After";

} // namespace

bool is_valid_response(response_head const& head,
                       header_field_names const& names)
{
    return head.headers.find(names.signature) &&
           head.headers.find(names.request_id) &&
           !head.headers.find("Content-Encoding");
}

bool is_refusal(response_head const& head, header_field_names const& names)
{
    if (!head.headers.find(names.request_id))
        return false;
    return head.status == status_misdirected ||
           (head.status >= status_bad_request &&
            head.headers.find(names.not_run));
}

bool promises_not_run(int status)
{
    return status == status_unavailable || status == status_too_many ||
           status == status_request_timeout || status == status_misdirected;
}

header_list answer_headers(response_head const& head,
                           header_field_names const& names)
{
    header_list res;
    connection_fields const hop_by_hop(head.headers);
    for (auto const it : head.headers)
    {
        if (hop_by_hop.contains(it.name) || equal_names(it.name, names.load) ||
            equal_names(it.name, names.endpoint) ||
            equal_names(it.name, names.leaving) ||
            equal_names(it.name, names.request_limit) ||
            equal_names(it.name, retry_after_field))
            continue;
        res.add(it.name, it.value);
    }
    return res;
}

header_list
local_answer_headers(std::string const& request_id,
                     std::optional<std::chrono::milliseconds> retry_after,
                     header_field_names const& names)
{
    header_list res;
    if (!request_id.empty())
        res.add(names.request_id, request_id);
    if (retry_after)
        res.add(
            retry_after_field,
            fmt::format("{:.3f}",
                        std::chrono::duration<double>(*retry_after).count()));
    res.add("Content-Type", "text/plain");
    return res;
}

} // namespace endiveward::gateway
