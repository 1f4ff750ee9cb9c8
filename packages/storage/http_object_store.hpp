#ifndef ENDIVEWARD_STORAGE_HTTP_OBJECT_STORE_HPP
#define ENDIVEWARD_STORAGE_HTTP_OBJECT_STORE_HPP

#include "storage/i_object_store.hpp"

#include <memory>
#include <string>

namespace endiveward::storage
{

class http_client;

/// The platform's object store over HTTP.
class http_object_store : public i_object_store
{
public:
    http_object_store(std::shared_ptr<http_client> client,
                      std::string base_url);

    void put(std::string key, std::string bytes,
             std::chrono::milliseconds timeout,
             handler<kernel::done> on_done) override;
    void get(std::string key, std::chrono::milliseconds timeout,
             handler<std::optional<std::string>> on_done) override;

private:
    std::shared_ptr<http_client> client_;
    std::string base_url_;
};

} // namespace endiveward::storage

#endif
