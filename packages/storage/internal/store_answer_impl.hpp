#ifndef ENDIVEWARD_STORAGE_INTERNAL_STORE_ANSWER_IMPL_HPP
#define ENDIVEWARD_STORAGE_INTERNAL_STORE_ANSWER_IMPL_HPP

#include "storage/internal/store_answer.hpp"

#include <algorithm>
#include <exception>
#include <utility>
#include <vector>

namespace endiveward::storage
{

template <typename T>
http_client::handler
store_handler(std::initializer_list<int> expected,
              std::function<T(http_response&)> read,
              std::function<void(kernel::result<T>)> on_done)
{
    return [statuses = std::vector<int>(expected), read = std::move(read),
            on_done = std::move(on_done)](kernel::result<http_response> res)
    {
        if (!kernel::ok(res))
        {
            auto error = kernel::failure(res);
            error.kind = kernel::error_kind::store_unavailable;
            return on_done(std::move(error));
        }
        auto& response = kernel::value(res);
        if (std::find(statuses.begin(), statuses.end(), response.status) ==
            statuses.end())
            return on_done(indefinite_answer(response));
        kernel::result<T> out = indefinite_answer(response);
        try
        {
            out = read(response);
        }
        catch (std::exception const&)
        {
            // A damaged answer is not definite; `out` already says so.
            return on_done(std::move(out));
        }
        on_done(std::move(out));
    };
}

} // namespace endiveward::storage

#endif
