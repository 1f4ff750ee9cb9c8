#ifndef ENDIVEWARD_E2E_CALLERS_HPP
#define ENDIVEWARD_E2E_CALLERS_HPP

#include "support/deployment.hpp"
#include "support/http_client.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace endiveward::e2e
{

/// The model and version that `engine` loads.
inline constexpr char const* model_name = "review";

test_support::endpoint_description engine(std::string id,
                                          std::string zone = "hall-a");
/// A plain service named `gate`.
test_support::endpoint_description gate(std::string id,
                                        std::string zone = "hall-a");

/// Routers that follow the table more often than by default, so that a test
/// that commits does not wait for it.
test_support::deployment_description
quick_deployment(std::size_t routers,
                 std::vector<test_support::endpoint_description> endpoints);

/// API key of the workspace `audit-<n>`.
std::string api_key(std::size_t workspace);

/// Operations that describe the endpoints, with their zone as a label, as many
/// workspaces, the model, the service `gate`, and the rule `all`.
nlohmann::json
first_operations(test_support::deployment_description const& what,
                 std::size_t workspaces = 1);
/// Rule `all`: all traffic may go to the endpoints of the selector.
nlohmann::json rule_operation(std::string const& endpoints);

/// A text of whole cache blocks that depends on `seed`.
std::string long_text(std::size_t blocks, std::string const& seed);

/// Body of a chat whose answer starts with `<<marker>>`.
nlohmann::json chat(std::string const& marker, bool stream,
                    std::size_t tokens = 8, std::string const& system = "");
/// A call of `POST /v1/chat/completions`.
test_support::http_call chat_call(std::string const& router_url,
                                  nlohmann::json const& body,
                                  std::size_t workspace = 0);
/// A call of `POST /services/gate/check` with an idempotency key.
test_support::http_call check_call(std::string const& router_url,
                                   std::string const& pass,
                                   std::string const& key);

/// What a caller reads from an answer to a chat, streamed or not.
struct chat_answer
{
    std::string text;
    /// A streamed answer ended with `[DONE]`; a whole one has status 200.
    bool done = false;
    /// The `error` object of the answer or of an error event; null if none.
    nlohmann::json error;
    /// The `usage` object; null if none.
    nlohmann::json usage;
};
chat_answer read_chat(test_support::http_answer const& answer);

/// Sends the call and says whether its answer is exactly the right one.
bool is_right(test_support::http_answer const& answer,
              nlohmann::json const& body);
/// Description of an answer for failed checks.
std::string describe(test_support::http_answer const& answer);

/// The `run` member of an error answer; empty if there is none.
std::string run_of(test_support::http_answer const& answer);
/// The `code` member of an error answer; empty if there is none.
std::string code_of(test_support::http_answer const& answer);

/// The endpoint that an answer names; empty if none.
std::string endpoint_of(test_support::http_answer const& answer);
/// What `X-Endiveward-Cached-Bytes` says; 0 if it is missing.
std::uint64_t cached_bytes_of(test_support::http_answer const& answer);

/// Waits until every router is connected to that many agents.
bool wait_until_connected(test_support::deployment const& running,
                          std::size_t agents);

} // namespace endiveward::e2e

#endif
