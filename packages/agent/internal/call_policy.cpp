#include "agent/internal/call_policy.hpp"

#include "agent/internal/load_reporter.hpp"
#include "config/i_configuration.hpp"
#include "config/types/routing_key.hpp"
#include "wire/types/invoke.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace endiveward::agent
{

namespace
{

kernel::error refusal(kernel::error_kind kind, std::string message)
{
    return {kind, std::move(message), kernel::run_state::not_run, {}};
}

bool is_visible(unsigned char c)
{
    return c > 0x20 && c != 0x7f;
}

bool is_path(std::string_view path)
{
    return path.starts_with('/') &&
           std::all_of(path.begin(), path.end(), is_visible);
}

bool is_method(std::string_view method)
{
    return !method.empty() &&
           std::all_of(method.begin(), method.end(),
                       [](char c) { return c >= 'A' && c <= 'Z'; });
}

} // namespace

call_policy::call_policy(std::shared_ptr<load_reporter const> load,
                         endpoint_identity identity)
    : load_(std::move(load))
    , identity_(std::move(identity))
{
}

std::optional<kernel::error>
call_policy::check(wire::invoke const& call,
                   config::i_configuration const& configuration) const
{
    if (call.config_version < configuration.version())
        return refusal(kernel::error_kind::stale_configuration,
                       "the router's configuration is older than the agent's; "
                       "update it and decide again");
    if (auto reason = check_method_and_path(call))
        return reason;
    return check_target_and_rules(call, configuration);
}

std::optional<kernel::error> call_policy::check_target_and_rules(
    wire::invoke const& call,
    config::i_configuration const& configuration) const
{
    if (auto reason = check_target(call))
        return reason;
    config::routing_key const key{call.workspace, call.model, call.version,
                                  call.service};
    if (!configuration.allows(key, identity_.id))
        return refusal(kernel::error_kind::not_eligible,
                       fmt::format("the rules of version {} do not allow this "
                                   "call at endpoint {}; choose another",
                                   configuration.version(),
                                   identity_.id.str()));
    return std::nullopt;
}

std::optional<kernel::error>
call_policy::check_method_and_path(wire::invoke const& call) const
{
    if (!is_method(call.method) || !is_path(call.path))
        return refusal(kernel::error_kind::invalid_request,
                       "method or path is not valid; send a path that starts "
                       "with / and has no spaces");
    if (call.target == wire::target_kind::service)
        return std::nullopt;
    if (call.method == "POST" &&
        (call.path == "/v1/chat/completions" || call.path == "/v1/completions"))
        return std::nullopt;
    return refusal(kernel::error_kind::invalid_request,
                   "engines only run POST /v1/chat/completions and "
                   "POST /v1/completions");
}

std::optional<kernel::error>
call_policy::check_target(wire::invoke const& call) const
{
    bool const to_service = call.target == wire::target_kind::service;
    if (to_service != !identity_.service.empty() ||
        (to_service && call.service != identity_.service))
        return refusal(kernel::error_kind::not_eligible,
                       fmt::format("endpoint {} does not serve this target; "
                                   "check the endpoint's entry in the "
                                   "configuration",
                                   identity_.id.str()));
    if (to_service || load_->serves(call.model, call.version))
        return std::nullopt;
    return refusal(kernel::error_kind::not_eligible,
                   fmt::format("the engine of endpoint {} has not loaded {} "
                               "{}; choose another endpoint",
                               identity_.id.str(), call.model.str(),
                               call.version.str()));
}

} // namespace endiveward::agent
