#ifndef ENDIVEWARD_KERNEL_TYPES_ERROR_KIND_HPP
#define ENDIVEWARD_KERNEL_TYPES_ERROR_KIND_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace endiveward::kernel
{

/// Stable error codes. The text form is the `code` of an API error.
enum class error_kind : std::uint8_t
{
    invalid_request,
    invalid_key,
    model_not_found,
    service_not_found,
    body_too_large,
    key_reused,
    conflict,
    no_eligible_endpoint,
    overloaded,
    draining,
    stale_configuration,
    not_eligible,
    store_unavailable,
    deadline_exceeded,
    outcome_unknown,
    stream_interrupted,
    connection_lost,
    protocol_violation,
    invalid_settings,
    not_found,
    internal
};

std::string_view to_string(error_kind kind);

/// HTTP status that reports an error of this kind to a caller.
int http_status(error_kind kind);

} // namespace endiveward::kernel

#endif
