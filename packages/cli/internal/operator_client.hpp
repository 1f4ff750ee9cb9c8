#ifndef ENDIVEWARD_CLI_INTERNAL_OPERATOR_CLIENT_HPP
#define ENDIVEWARD_CLI_INTERNAL_OPERATOR_CLIENT_HPP

#include "cli/acceptance.hpp"
#include "kernel/types/result.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace endiveward::storage
{
class http_client;
struct http_response;
} // namespace endiveward::storage

namespace endiveward::cli
{

/// Asks operators' listeners.
class operator_client
{
public:
    operator_client(std::string token, std::chrono::milliseconds timeout);
    ~operator_client();
    operator_client(operator_client const&) = delete;
    operator_client& operator=(operator_client const&) = delete;

    /// Gets a path such as `/state`; `address` is `<ip>:<port>`.
    kernel::result<nlohmann::json> get(std::string const& address,
                                       std::string const& path) const;
    /// Fills the reports from `/state/config` of all addresses at once. Region,
    /// zone and role stay as they are for processes that do not answer.
    void ask(std::vector<process_report>& reports) const;

private:
    std::future<kernel::result<storage::http_response>>
    start(std::string const& address, std::string const& path) const;

    std::string token_;
    std::chrono::milliseconds timeout_;
    std::unique_ptr<storage::http_client> http_;
};

} // namespace endiveward::cli

#endif
