#ifndef ENDIVEWARD_STORAGE_I_OBJECT_STORE_HPP
#define ENDIVEWARD_STORAGE_I_OBJECT_STORE_HPP

#include "kernel/types/result.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace endiveward::storage
{

/// The platform's object store. Handlers as for `i_table`.
class i_object_store
{
public:
    template <typename T>
    using handler = std::function<void(kernel::result<T>)>;

    virtual ~i_object_store() = default;

    virtual void put(std::string key, std::string bytes,
                     std::chrono::milliseconds timeout,
                     handler<kernel::done> on_done) = 0;
    /// Gives no bytes if there is no such object.
    virtual void get(std::string key, std::chrono::milliseconds timeout,
                     handler<std::optional<std::string>> on_done) = 0;
};

} // namespace endiveward::storage

#endif
