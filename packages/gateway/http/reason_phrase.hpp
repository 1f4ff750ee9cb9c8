#ifndef ENDIVEWARD_GATEWAY_HTTP_REASON_PHRASE_HPP
#define ENDIVEWARD_GATEWAY_HTTP_REASON_PHRASE_HPP

#include <string_view>

namespace endiveward::gateway
{

/// Returns the standard reason phrase of a status.
std::string_view reason_phrase(int status);

} // namespace endiveward::gateway

#endif
