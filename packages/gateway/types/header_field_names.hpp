#ifndef ENDIVEWARD_GATEWAY_TYPES_HEADER_FIELD_NAMES_HPP
#define ENDIVEWARD_GATEWAY_TYPES_HEADER_FIELD_NAMES_HPP

#include <string>
#include <vector>

namespace endiveward::gateway
{

/// Names of the header fields that the gateway reads and sets.
struct header_field_names
{
    /// Identifies one attempt of a caller.
    std::string request_id;
    /// Milliseconds that the caller still waits.
    std::string deadline;
    /// The caller's key.
    std::string key;
    std::string workspace;
    /// The endpoint that may run the request; others answer 421.
    std::string expected_endpoint;
    std::string model;
    /// Prompt tokens and the most output tokens.
    std::string token_counts;
    /// Parts of the prompt as `ID:TOKENS`.
    std::string prompt_parts;
    std::string last_event_id;
    /// Engines find cached parts only under the same text.
    std::string cache_salt;
    std::string priority;
    /// The engine answers 421 if it serves another version of the model.
    std::string expected_version;
    /// Where an engine fetches KV cache from, and where it saves it.
    std::string kv_source;
    std::string kv_target;
    /// An endpoint's proof that it made the answer.
    std::string signature;
    /// The endpoint did not run the request.
    std::string not_run;
    std::string endpoint;
    /// Running and waiting requests and slots, comma-separated.
    std::string load;
    /// The version of the model that made an answer.
    std::string weight_version;
    /// Fields that callers must not set, beside those above.
    std::vector<std::string> reserved;
};

} // namespace endiveward::gateway

#endif
