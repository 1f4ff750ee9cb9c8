#include "observe/internal/operator_api.hpp"

#include "observe/i_state_source.hpp"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace endiveward::observe
{

namespace
{

constexpr std::string_view bearer_scheme = "Bearer ";
constexpr std::string_view state_prefix = "/state/";

using digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

digest sha256(std::string_view text)
{
    digest out{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(),
           out.data());
    return out;
}

// Hashing first gives both sides the same length, so that the comparison takes
// the same time for tokens of any length.
bool equal_in_constant_time(std::string_view lhs, std::string_view rhs)
{
    auto const left = sha256(lhs);
    auto const right = sha256(rhs);
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

operator_response json_response(int status, nlohmann::json const& body)
{
    // A section may contain bytes that are not UTF-8, e.g. a peer's name.
    return {status, "application/json",
            body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
                "\n"};
}

operator_response error_response(int status, std::string_view message)
{
    return json_response(status, {{"error", {{"message", message}}}});
}

} // namespace

operator_api::operator_api(operator_server_options options)
    : options_(std::move(options))
{
}

operator_response operator_api::get(std::string_view path,
                                    std::string_view authorization) const
{
    path = path.substr(0, path.find('?'));
    if (path == "/healthz")
        return {200, "text/plain", "ok\n"};
    if (path == "/readyz")
        return ready();
    if (!options_.open && !authorized(authorization))
        return error_response(
            401, "send the operator token as 'Authorization: Bearer <token>'");
    if (path == "/metrics")
        return metrics();
    if (path == "/state")
        return state();
    if (path == "/config")
        return state_section("config");
    if (path.starts_with(state_prefix))
        return state_section(path.substr(state_prefix.size()));
    return error_response(404, "unknown path; use /healthz, /readyz, /metrics, "
                               "/config, /state or /state/<section>");
}

bool operator_api::authorized(std::string_view authorization) const
{
    // Without a token in the settings nobody is let in.
    if (options_.token.empty() || !authorization.starts_with(bearer_scheme))
        return false;
    return equal_in_constant_time(authorization.substr(bearer_scheme.size()),
                                  options_.token);
}

operator_response operator_api::ready() const
{
    if (options_.ready && options_.ready())
        return {200, "text/plain", "ready\n"};
    return {503, "text/plain", "not ready\n"};
}

operator_response operator_api::metrics() const
{
    std::vector<prometheus::MetricFamily> families;
    if (options_.metrics)
        families = options_.metrics->Collect();
    return {200, "text/plain; version=0.0.4",
            prometheus::TextSerializer().Serialize(families)};
}

operator_response operator_api::state() const
{
    auto body = nlohmann::json::object();
    for (auto const& it : options_.sources)
        body[std::string(it->section())] = it->dump();
    return json_response(200, body);
}

operator_response operator_api::state_section(std::string_view section) const
{
    for (auto const& it : options_.sources)
    {
        if (it->section() == section)
            return json_response(200, it->dump());
    }
    return error_response(404, "unknown section; /state lists all sections");
}

} // namespace endiveward::observe
