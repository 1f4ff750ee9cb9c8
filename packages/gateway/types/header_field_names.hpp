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
    /// Milliseconds for which the caller still waits.
    std::string deadline;
    /// The caller's key.
    std::string key;
    std::string workspace;
    /// The id of the endpoint that may run the request; others answer 421.
    std::string expected_endpoint;
    std::string model;
    /// Prompt tokens and the maximum number of output tokens, comma-separated.
    std::string token_counts;
    /// Parts of the prompt as `ID:TOKENS`, comma-separated.
    std::string prompt_parts;
    std::string last_event_id;
    /// Set by a caller that takes up a stream: the id of the request that
    /// brought the stream's first event.
    std::string resumed_request;
    /// Engines reuse cached parts only under the same salt.
    std::string cache_salt;
    std::string priority;
    /// The engine answers 421 if it serves another version of the model.
    std::string expected_version;
    /// Where an engine fetches KV cache from and where it saves it, as
    /// `IP:PORT`.
    std::string kv_source;
    std::string kv_target;
    /// The endpoint's signature of a response.
    std::string signature;
    /// Present if the endpoint did not run the request.
    std::string not_run;
    std::string endpoint;
    /// Numbers of running requests, waiting requests and slots,
    /// comma-separated. A fourth one, on some services, tells how long work
    /// takes now, in percent of the usual time.
    std::string load;
    /// `1` if the endpoint is going to exit.
    std::string leaving;
    /// Requests a second that the endpoint takes from all processes together.
    std::string request_limit;
    /// The model version that produced the response.
    std::string weight_version;
    /// Fields that are removed from callers' requests.
    std::vector<std::string> reserved;
};

} // namespace endiveward::gateway

#endif
