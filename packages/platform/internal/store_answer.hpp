#ifndef ENDIVEWARD_PLATFORM_INTERNAL_STORE_ANSWER_HPP
#define ENDIVEWARD_PLATFORM_INTERNAL_STORE_ANSWER_HPP

#include "platform/http_client.hpp"

#include <functional>
#include <initializer_list>
#include <string>

namespace endiveward::platform
{

/// The error for a response that is not a definite answer: 503 is `not_run`,
/// everything else `unknown`.
kernel::error indefinite_answer(http_response const& response);

/// Gives the response on to `read` if its status is one of `expected`. `read`
/// may throw; this and every other outcome become `store_unavailable`.
template <typename T>
http_client::handler
store_handler(std::initializer_list<int> expected,
              std::function<T(http_response&)> read,
              std::function<void(kernel::result<T>)> on_done);

} // namespace endiveward::platform

#include "platform/internal/store_answer_impl.hpp"

#endif
