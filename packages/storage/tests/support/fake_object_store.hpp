#ifndef ENDIVEWARD_STORAGE_TESTS_SUPPORT_FAKE_OBJECT_STORE_HPP
#define ENDIVEWARD_STORAGE_TESTS_SUPPORT_FAKE_OBJECT_STORE_HPP

#include "storage/i_object_store.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace endiveward::storage::tests
{

/// An in-memory object store that can be unavailable. Handlers run before the
/// method returns. Safe for concurrent use.
class fake_object_store : public i_object_store
{
public:
    void put(std::string key, std::string bytes, std::chrono::milliseconds,
             handler<kernel::done> on_done) override
    {
        on_done(run_put(std::move(key), std::move(bytes)));
    }

    void get(std::string key, std::chrono::milliseconds,
             handler<std::optional<std::string>> on_done) override
    {
        on_done(run_get(key));
    }

    void set_unavailable(bool unavailable)
    {
        std::lock_guard const lock(mutex_);
        unavailable_ = unavailable;
    }

    std::map<std::string, std::string> objects() const
    {
        std::lock_guard const lock(mutex_);
        return objects_;
    }

private:
    static kernel::error failed()
    {
        return {kernel::error_kind::store_unavailable,
                "the object store did not answer; retry later",
                kernel::run_state::not_run, std::nullopt};
    }

    kernel::result<kernel::done> run_put(std::string key, std::string bytes)
    {
        std::lock_guard const lock(mutex_);
        if (unavailable_)
            return failed();
        objects_[std::move(key)] = std::move(bytes);
        return kernel::done();
    }

    kernel::result<std::optional<std::string>> run_get(std::string const& key)
    {
        std::lock_guard const lock(mutex_);
        if (unavailable_)
            return failed();
        auto const it = objects_.find(key);
        if (it == objects_.end())
            return std::optional<std::string>();
        return std::optional<std::string>(it->second);
    }

    mutable std::mutex mutex_;
    std::map<std::string, std::string> objects_;
    bool unavailable_ = false;
};

} // namespace endiveward::storage::tests

#endif
