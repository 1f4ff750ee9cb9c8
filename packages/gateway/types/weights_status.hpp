#ifndef ENDIVEWARD_GATEWAY_TYPES_WEIGHTS_STATUS_HPP
#define ENDIVEWARD_GATEWAY_TYPES_WEIGHTS_STATUS_HPP

#include <string_view>

namespace endiveward::gateway
{

/// How an endpoint's version of a model relates to the target version.
enum class weights_status
{
    /// It serves the target version, or there is no target.
    current,
    /// Its scheduled reload is over, so it should serve the target version by
    /// now.
    expected_current,
    /// It is reloading and refuses requests.
    reloading,
    /// It serves an older version until its reload.
    outdated,
    /// It serves an older version on which requests must no longer start.
    expired
};

std::string_view to_text(weights_status status);

} // namespace endiveward::gateway

#endif
