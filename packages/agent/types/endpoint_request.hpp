#ifndef ENDIVEWARD_AGENT_ENDPOINT_REQUEST_HPP
#define ENDIVEWARD_AGENT_ENDPOINT_REQUEST_HPP

#include "wire/types/header.hpp"
#include "wire/types/target_kind.hpp"

#include <string>
#include <vector>

namespace endiveward::agent
{

/// An HTTP request to the endpoint, built from a router's call.
struct endpoint_request
{
    wire::target_kind target = wire::target_kind::engine;
    std::string method;
    std::string path;
    std::vector<wire::header> headers;
    std::string body;
    bool streaming = false;
    /// Engines only: the stream id under which the engine keeps the response,
    /// and the required model version.
    std::string stream_id;
    std::string model_version;
};

} // namespace endiveward::agent

#endif
