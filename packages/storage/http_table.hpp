#ifndef ENDIVEWARD_STORAGE_HTTP_TABLE_HPP
#define ENDIVEWARD_STORAGE_HTTP_TABLE_HPP

#include "storage/i_table.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace endiveward::storage
{

class http_client;
struct http_request;
struct http_response;

/// The platform's table over HTTP. Values must be UTF-8.
class http_table : public i_table
{
public:
    http_table(std::shared_ptr<http_client> client, std::string base_url);

    void commit(table_transaction transaction,
                std::chrono::milliseconds timeout,
                handler<transaction_outcome> on_done) override;
    void read(std::string key, std::chrono::milliseconds timeout,
              handler<std::optional<row>> on_done) override;
    void scan(std::string prefix, std::string after, std::size_t limit,
              std::chrono::milliseconds timeout,
              handler<std::vector<row>> on_done) override;
    std::uint64_t era() const override { return *era_; }

private:
    void send(http_request request,
              std::function<void(kernel::result<http_response>)> on_done);

    std::shared_ptr<http_client> client_;
    std::string base_url_;
    /// Shared with handlers, which may run after the table is destroyed.
    std::shared_ptr<std::atomic<std::uint64_t>> const era_ =
        std::make_shared<std::atomic<std::uint64_t>>(0);
};

} // namespace endiveward::storage

#endif
