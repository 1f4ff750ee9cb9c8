#include "gateway/response_rules.hpp"

#include "gateway/http/response_head.hpp"
#include "gateway/request_builder.hpp"
#include "gateway/types/header_field_names.hpp"

namespace endiveward::gateway
{

namespace
{

constexpr int status_bad_request = 400;
constexpr int status_misdirected = 421;

} // namespace

bool is_valid_response(response_head const& head,
                       header_field_names const& names)
{
    return head.headers.find(names.signature) != nullptr &&
           head.headers.find(names.request_id) != nullptr &&
           head.headers.find("Content-Encoding") == nullptr;
}

bool is_refusal(response_head const& head, header_field_names const& names)
{
    if (head.headers.find(names.request_id) == nullptr)
        return false;
    return head.status == status_misdirected ||
           (head.status >= status_bad_request &&
            head.headers.find(names.not_run) != nullptr);
}

header_list answer_headers(response_head const& head,
                           header_field_names const& names)
{
    header_list res;
    for (auto const& it : head.headers)
    {
        if (is_connection_field(it.name, head.headers) ||
            equal_names(it.name, names.load) ||
            equal_names(it.name, names.endpoint) ||
            equal_names(it.name, names.leaving) ||
            equal_names(it.name, names.request_limit) ||
            equal_names(it.name, "Retry-After"))
            continue;
        res.add(it.name, it.value);
    }
    return res;
}

} // namespace endiveward::gateway
