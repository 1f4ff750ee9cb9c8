#ifndef ENDIVEWARD_AGENT_ENDPOINT_EXCHANGE_HPP
#define ENDIVEWARD_AGENT_ENDPOINT_EXCHANGE_HPP

#include "agent/internal/http_transfer.hpp"
#include "agent/internal/sse_parser.hpp"
#include "agent/types/endpoint_request.hpp"
#include "agent/types/endpoint_result.hpp"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace endiveward::agent
{

class http_transport;
class i_endpoint_observer;

/// A request to the endpoint, including the resume requests for its stream.
class endpoint_exchange : public std::enable_shared_from_this<endpoint_exchange>
{
    asio::io_context& context_;
    http_transport& transport_;
    i_endpoint_observer& observer_;

public:
    endpoint_exchange(asio::io_context& context, http_transport& transport,
                      i_endpoint_observer& observer, std::uint64_t id,
                      std::string base_url, endpoint_request request);

    void start();
    void pause();
    void resume();
    void cancel();
    bool ended() const { return ended_; }

private:
    bool is_engine() const;
    bool is_event_stream() const;
    http_handlers make_handlers();
    http_request initial_request() const;
    http_request resume_request() const;
    void start_transfer(http_request request);
    void on_head(http_head const& head);
    void on_data(std::string bytes);
    bool on_event(sse_event const& event);
    void on_transfer_end(http_end const& end);
    void finish_stream(http_end const& end);
    void finish_non_streaming(http_end const& end);
    bool can_resume_stream() const;
    void resume_stream();
    void abort_at_endpoint();
    void read_usage(std::string const& json);
    void complete();
    void fail(kernel::error reason);
    void end(endpoint_result const& result);

    std::uint64_t const id_;
    std::string const base_url_;
    endpoint_request request_;
    asio::steady_timer timer_;
    sse_parser parser_;
    http_head head_;
    endpoint_result result_;
    std::uint64_t transfer_ = 0;
    /// As the first response names it; empty if it does not.
    std::optional<std::string> incarnation_;
    std::string body_;
    std::uint64_t next_event_ = 0;
    unsigned resume_attempts_ = 0;
    bool has_head_ = false;
    bool response_started_ = false;
    bool stream_done_ = false;
    bool paused_ = false;
    bool ended_ = false;
};

} // namespace endiveward::agent

#endif
