#ifndef ENDIVEWARD_STAND_INS_PROMPT_HPP
#define ENDIVEWARD_STAND_INS_PROMPT_HPP

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace endiveward::stand_ins
{

/// The prompt text of a chat or completion body.
std::string prompt_text(nlohmann::json const& body);

/// Text between `<<` and `>>` in the last message or in the prompt.
std::string request_marker(nlohmann::json const& body);

/// The tokens that every engine yields for a request: the marker in `<<` and
/// `>>` if there is one, words that depend on model and prompt text, and a
/// last word that depends on all tokens before it. `max_tokens` (16 if
/// absent) counts all tokens. Independent of `cache_salt` and `priority`,
/// which the agent adds.
std::vector<std::string> answer_tokens(nlohmann::json const& body);

/// The tokens joined by spaces.
std::string answer_text(nlohmann::json const& body);

} // namespace endiveward::stand_ins

#endif
