#ifndef ENDIVEWARD_STORAGE_INTERNAL_STORE_ANSWER_HPP
#define ENDIVEWARD_STORAGE_INTERNAL_STORE_ANSWER_HPP

#include "storage/http_client.hpp"

#include <functional>
#include <initializer_list>
#include <string>

namespace endiveward::storage
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

} // namespace endiveward::storage

#include "storage/internal/store_answer_impl.hpp"

#endif
