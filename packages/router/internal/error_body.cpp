#include "router/error_body.hpp"

#include "kernel/types/error.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

namespace endiveward::router
{

namespace
{

std::string_view openai_error_type(kernel::error_kind kind)
{
    auto const status = kernel::http_status(kind);
    if (kind == kernel::error_kind::invalid_key)
        return "authentication_error";
    if (kind == kernel::error_kind::overloaded)
        return "rate_limit_error";
    return status < 500 ? "invalid_request_error" : "server_error";
}

} // namespace

std::string make_error_body(kernel::error const& failure,
                            std::string const& param)
{
    nlohmann::json error{{"message", failure.message},
                         {"type", openai_error_type(failure.kind)},
                         {"code", kernel::to_string(failure.kind)},
                         {"param", nullptr},
                         {"run", kernel::to_string(failure.run)}};
    if (!param.empty())
        error["param"] = param;
    return nlohmann::json{{"error", std::move(error)}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void add_retry_after(kernel::error const& failure,
                     std::vector<wire::header>& fields)
{
    if (!failure.retry_after)
        return;
    // The header has whole seconds; rounding down would cause early retries.
    auto const seconds =
        std::chrono::ceil<std::chrono::seconds>(*failure.retry_after);
    fields.push_back({"Retry-After", std::to_string(seconds.count())});
}

} // namespace endiveward::router
