#ifndef ENDIVEWARD_AGENT_HTTP_ENDPOINT_CLIENT_HPP
#define ENDIVEWARD_AGENT_HTTP_ENDPOINT_CLIENT_HPP

#include "agent/i_endpoint_client.hpp"
#include "agent/i_endpoint_observer.hpp"
#include "agent/internal/http_transport.hpp"

#include <memory>
#include <string>
#include <unordered_map>

namespace endiveward::agent
{

class endpoint_exchange;

/// HTTP client for engines and plain services. Implements the protocols of
/// design section 8.
class http_endpoint_client : public i_endpoint_client,
                             public i_endpoint_observer
{
    asio::io_context& context_;

public:
    http_endpoint_client(asio::io_context& context, std::string base_url);
    ~http_endpoint_client() override;

    void start(std::uint64_t id, endpoint_request request,
               i_endpoint_observer& observer) override;
    void pause(std::uint64_t id) override;
    void resume(std::uint64_t id) override;
    void cancel(std::uint64_t id) override;
    void load(i_endpoint_client::handler<engine_load> on_done) override;
    void
    list_blocks(i_endpoint_client::handler<cache_listing> on_done) override;
    void events(std::uint64_t after, std::chrono::milliseconds wait,
                i_endpoint_client::handler<std::vector<admission::cache_event>>
                    on_done) override;
    void order(engine_order const& new_order,
               i_endpoint_client::handler<kernel::done> on_done) override;

private:
    struct entry
    {
        std::shared_ptr<endpoint_exchange> exchange;
        i_endpoint_observer* observer = nullptr;
    };

    void on_chunk(std::uint64_t id, std::string bytes) override;
    void on_notices(std::uint64_t id, endpoint_notices const& notices) override;
    void on_end(std::uint64_t id, endpoint_result const& end) override;
    void
    fetch(http_request request,
          std::function<void(int, std::string, std::string)> const& on_done);

    std::string const base_url_;
    http_transport transport_;
    std::unordered_map<std::uint64_t, entry> exchanges_;
};

} // namespace endiveward::agent

#endif
