#ifndef ENDIVEWARD_AGENT_ENDPOINT_RESULT_HPP
#define ENDIVEWARD_AGENT_ENDPOINT_RESULT_HPP

#include "kernel/types/error.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace endiveward::agent
{

/// The outcome of a request to the endpoint.
struct endpoint_result
{
    /// Set unless the response is complete. Its run state is `not_run` only if
    /// no byte of the request was sent.
    std::optional<kernel::error> failure;
    /// The endpoint's process has ended, as far as known, before the response
    /// was complete.
    bool endpoint_ended = false;
    int http_status = 0;
    std::string content_type;
    std::uint64_t prompt_bytes = 0;
    std::uint64_t cached_bytes = 0;
};

} // namespace endiveward::agent

#endif
