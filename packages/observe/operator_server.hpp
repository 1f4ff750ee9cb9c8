#ifndef ENDIVEWARD_OBSERVE_OPERATOR_SERVER_HPP
#define ENDIVEWARD_OBSERVE_OPERATOR_SERVER_HPP

#include "kernel/types/result.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace prometheus
{
class Registry;
}

namespace endiveward::observe
{

class i_state_source;

struct operator_server_options
{
    std::string address;
    /// 0 takes a free port.
    std::uint16_t port = 0;
    /// Bearer token for everything but `/healthz` and `/readyz`.
    std::string token;
    std::shared_ptr<prometheus::Registry> metrics;
    std::vector<std::shared_ptr<i_state_source>> sources;
    /// Whether the process accepts traffic; called from any thread.
    std::function<bool()> ready;
    /// Answers everything without a token, on a network of its own.
    bool open = false;
    /// If there are more, those that have been open for longest are closed.
    std::size_t max_connections = 64;
};

/// HTTP for operators: `/healthz`, `/readyz`, `/metrics`, `/state` and
/// `/state/<section>`. Runs on its own thread, so that it answers when the
/// traffic threads are busy.
class operator_server
{
public:
    explicit operator_server(operator_server_options options);
    ~operator_server();
    operator_server(operator_server const&) = delete;
    operator_server& operator=(operator_server const&) = delete;

    /// Gives the port in use.
    kernel::result<std::uint16_t> start();
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace endiveward::observe

#endif
